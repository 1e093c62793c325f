package org.laurelweir.membership;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/**
 * Takes the announcements of backend servers that have no sidecar. These go to any control
 * instance, may be late, and may overtake each other; each carries a number that rises within one
 * start of its backend server, and when that start was. The start is the incarnation: one that
 * starts again under its name is another run, of which nothing known of the run before holds.
 *
 * <p>The number becomes the session whenever something changes: the state, or the instance that
 * hears. A late announcement then has a lower session than what it would take back, on every
 * instance, so that one that drains is not called serving again. While nothing changes the session
 * stays, and an announcement costs its instance nothing that others have to be told of.
 */
public final class DirectAnnouncements {
    /** The session of a run that has left; only a later start under the name comes after it. */
    private static final int LAST = Integer.MAX_VALUE;

    /** The incarnation of an announcement that tells no start. */
    static final long START_UNTOLD = 0;

    private final SharedMembership mMembership;
    private final Predicate<String> mIsService;
    private final Map<String, AnnouncementVersion> mNewest = new HashMap<>();
    private final AddressTable mAddresses;
    private boolean mStartsAreTold;

    /** What became of an announcement. */
    public enum Outcome {
        /** It is the newest of its backend server, and believed. */
        TAKEN,
        /** A later one of the same backend server, or of a later start of it, is known. */
        OVERTAKEN,
        /** It names a service that neither the settings have nor its server is known for. */
        UNKNOWN_SERVICE,
        /** It tells no start where others do, so that something else wrote it. */
        START_MISSING,
        /** A backend server that started later is at its address. */
        ADDRESS_TAKEN,
        /** It is a withdrawal, and nothing is known here of the backend server that leaves. */
        UNKNOWN_SERVER
    }

    /**
     * Creates an empty record beside a membership.
     *
     * @param membership takes what is believed
     * @param isService whether the settings in force, if there are any, have a service of that name
     */
    public DirectAnnouncements(SharedMembership membership, Predicate<String> isService) {
        mMembership = membership;
        mIsService = isService;
        mAddresses = new AddressTable(membership);
    }

    /**
     * Takes an announcement.
     *
     * @param now when
     * @param b what it says; its session is the announcement's number, its incarnation when the
     *     backend server started, 0 where it does not tell
     * @return what became of it; all but {@code TAKEN} change nothing
     */
    public Outcome receive(Instant now, Backend b) {
        Outcome outcome = judge(b);
        if (outcome == Outcome.TAKEN) {
            take(now, b);
        }
        return outcome;
    }

    private Outcome judge(Backend b) {
        Backend known = mMembership.backend(b.ref().id());
        if (!mIsService.test(b.service()) && !isOfItsService(known, b)) {
            return Outcome.UNKNOWN_SERVICE;
        }
        if (mStartsAreTold && b.ref().incarnation() == START_UNTOLD) {
            return Outcome.START_MISSING;
        }
        AnnouncementVersion told = AnnouncementVersion.of(b);
        boolean overtaken = known != null && !told.isAfter(AnnouncementVersion.of(known));
        if (overtaken || !told.isAfter(mNewest.get(b.ref().id()))) {
            return Outcome.OVERTAKEN;
        }
        boolean isUnheardOf = known == null && !mNewest.containsKey(b.ref().id());
        boolean believed = isLeaving(b) || mAddresses.mayHold(b, isUnheardOf);
        return believed ? Outcome.TAKEN : Outcome.ADDRESS_TAKEN;
    }

    /** Another instance, whose settings are newer than those here, has vouched for the service. */
    private static boolean isOfItsService(Backend known, Backend b) {
        return known != null && known.service().equals(b.service());
    }

    /** One that leaves draws no requests, whoever is at its address. */
    private static boolean isLeaving(Backend b) {
        return b.state() != Backend.State.SERVING;
    }

    private void take(Instant now, Backend b) {
        String id = b.ref().id();
        mStartsAreTold |= b.ref().incarnation() != START_UNTOLD;
        mNewest.put(id, AnnouncementVersion.of(b));
        if (!isLeaving(b)) {
            occupyAddress(now, b);
        }
        Backend known = mMembership.backend(id);
        boolean goesOn = known != null && isUnchanged(known, b) && mMembership.hears(known);
        Backend told = goesOn ? b.withSession(known.session()) : b;
        int leastSession = passOn(now, told);
        if (leastSession > told.session()) {
            // Others gave it up: only a new session wins over the departure that they announced.
            passOn(now, b);
        }
    }

    private int passOn(Instant now, Backend b) {
        return mMembership.receiveReport(now, new SidecarReport(b, 0, 0, 0));
    }

    private void occupyAddress(Instant now, Backend b) {
        Backend before = mAddresses.hold(b);
        if (before != null) {
            leave(now, before);
        }
    }

    private static boolean isUnchanged(Backend known, Backend b) {
        return known.ref().equals(b.ref()) && known.state() == b.state();
    }

    /**
     * Takes the word of a backend server that it leaves.
     *
     * @param now when
     * @param ref the start that leaves; one that tells no start means the run that is known
     * @return what became of it; all but {@code TAKEN} change nothing
     */
    public Outcome withdraw(Instant now, BackendRef ref) {
        Backend known = mMembership.backend(ref.id());
        if (known == null) {
            return Outcome.UNKNOWN_SERVER;
        }
        boolean anyStart = ref.incarnation() == START_UNTOLD;
        if (!anyStart && ref.incarnation() < known.ref().incarnation()) {
            return Outcome.OVERTAKEN;
        }
        leave(now, anyStart ? known : known.withRef(ref));
        return Outcome.TAKEN;
    }

    private void leave(Instant now, Backend known) {
        Backend left = known.withState(Backend.State.LEFT).withSession(LAST);
        passOn(now, left);
    }

    /** Forgets those that the membership has forgotten. */
    public void prune() {
        mNewest.keySet().removeIf(id -> !mMembership.knows(id));
        mAddresses.prune();
    }

    /** Where an announcement stands among those of its backend server. */
    private record AnnouncementVersion(long incarnation, int number) {
        static AnnouncementVersion of(Backend b) {
            return new AnnouncementVersion(b.ref().incarnation(), b.session());
        }

        boolean isAfter(AnnouncementVersion other) {
            if (other == null) {
                return true;
            }
            return incarnation == other.incarnation
                    ? number > other.number
                    : incarnation > other.incarnation;
        }
    }
}
