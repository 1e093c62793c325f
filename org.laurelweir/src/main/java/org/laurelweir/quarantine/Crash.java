package org.laurelweir.quarantine;

import java.time.Duration;
import org.laurelweir.lib.BackendRef;

/**
 * A crash of a backend server while it ran a request.
 *
 * @param server the incarnation of the backend server that crashed
 * @param router the router that observed the crash; the first by name if several did
 * @param age time since the crash was observed, when the record is sent; an age is independent of
 *     differences between the clocks of two processes
 * @param excused whether the suspect is known not to be the cause: it was served since, or the
 *     backend server answered since and so had not crashed
 * @param owner whose request it was
 */
public record Crash(BackendRef server, String router, Duration age, boolean excused, Owner owner) {
    /**
     * Whose requests with a part of prompts a crashed server was running.
     *
     * @param service the service of the server, or empty under a whole request
     * @param account the client account, the first by name of several; empty under a whole request
     * @param severalAccounts whether it ran requests of several accounts with the part
     */
    public record Owner(String service, String account, boolean severalAccounts) {
        /** The owner under a whole request, whose key names its account. */
        public static final Owner OF_REQUEST = new Owner("", "", false);

        /** Returns the owner that two records of the same crash have together. */
        Owner merge(Owner other) {
            boolean isFirst = account.compareTo(other.account) <= 0;
            boolean several =
                    severalAccounts || other.severalAccounts || !account.equals(other.account);
            return new Owner(service, isFirst ? account : other.account, several);
        }
    }

    /** Creates a crash under a whole request. */
    public Crash(BackendRef server, String router, Duration age, boolean excused) {
        this(server, router, age, excused, Owner.OF_REQUEST);
    }
}
