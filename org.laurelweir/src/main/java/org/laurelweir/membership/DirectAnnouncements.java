package org.laurelweir.membership;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/**
 * Applies the announcements of backend servers that have no sidecar. A backend server sends them to
 * any control instance; they may arrive late and out of order. Each carries a number that rises
 * within one run of the backend server, and the time at which that run started. The start time is
 * the incarnation: a backend server that restarts under its name is another incarnation, and
 * everything known of the previous one is void.
 *
 * <p>When the state, the slow start, the version or the receiving instance changes, the
 * announcement's number becomes the session. A late announcement then has a lower session than the
 * change that it would revert, on every instance, so a draining backend server does not count as
 * serving again. While nothing changes, the session stays the same and nothing has to be sent to
 * the peers.
 */
public final class DirectAnnouncements {
    /** The incarnation of a backend server that does not tell when it started. */
    public static final long NO_START_TIME = 0;

    private final SharedMembership mMembership;
    private final Predicate<String> mIsKnownService;
    private final Map<String, AnnouncementVersion> mLastAccepted = new HashMap<>();
    private final AddressTable mAddresses;
    private boolean mHasSeenStartTimes;

    /** The result of an announcement. */
    public enum Outcome {
        /** It is the newest one of its backend server and is applied. */
        TAKEN,
        /** A newer one of the same backend server, or of a later incarnation, was received. */
        OVERTAKEN,
        /** Its service is neither in the settings nor known as the backend server's service. */
        UNKNOWN_SERVICE,
        /** It has no start time although others have one, so another program wrote it. */
        START_MISSING,
        /** A backend server that started later uses its address. */
        ADDRESS_TAKEN,
        /** It is a withdrawal of a backend server that this instance does not know. */
        UNKNOWN_SERVER
    }

    /**
     * Creates an instance that has received no announcements.
     *
     * @param membership receives the accepted announcements
     * @param isKnownService returns whether the settings in force contain the service of that name;
     *     true for every name while there are no settings
     */
    public DirectAnnouncements(SharedMembership membership, Predicate<String> isKnownService) {
        mMembership = membership;
        mIsKnownService = isKnownService;
        mAddresses = new AddressTable(membership);
    }

    /**
     * Receives an announcement.
     *
     * @param now the current time
     * @param b the announced backend server; its session is the announcement's number, its
     *     incarnation is the start time or 0 if the announcement has none
     * @return the outcome; only {@code TAKEN} changes anything
     */
    public Outcome receive(Instant now, Backend b) {
        Outcome outcome = check(b);
        if (outcome == Outcome.TAKEN) {
            accept(now, b);
        }
        return outcome;
    }

    private Outcome check(Backend b) {
        Backend known = mMembership.backend(b.ref().id());
        if (!mIsKnownService.test(b.service()) && !isSameService(known, b)) {
            return Outcome.UNKNOWN_SERVICE;
        }
        if (mHasSeenStartTimes && b.ref().incarnation() == NO_START_TIME) {
            return Outcome.START_MISSING;
        }
        AnnouncementVersion version = AnnouncementVersion.of(b);
        boolean isOutdated = known != null && !version.isAfter(AnnouncementVersion.of(known));
        isOutdated |= mMembership.isOutdated(b);
        if (isOutdated || !version.isAfter(mLastAccepted.get(b.ref().id()))) {
            return Outcome.OVERTAKEN;
        }
        boolean isNew = known == null && !mLastAccepted.containsKey(b.ref().id());
        boolean isAccepted = isLeaving(b) || mAddresses.mayTakeOver(b, isNew);
        return isAccepted ? Outcome.TAKEN : Outcome.ADDRESS_TAKEN;
    }

    /**
     * Returns whether the server is known with this service, as from a peer with newer settings.
     */
    private static boolean isSameService(Backend known, Backend b) {
        return known != null && known.service().equals(b.service());
    }

    /**
     * Returns whether a server gets no new requests, so that it does not compete for its address.
     */
    private static boolean isLeaving(Backend b) {
        return b.state() != Backend.State.SERVING;
    }

    private void accept(Instant now, Backend b) {
        String id = b.ref().id();
        mHasSeenStartTimes |= b.ref().incarnation() != NO_START_TIME;
        mLastAccepted.put(id, AnnouncementVersion.of(b));
        if (!isLeaving(b)) {
            assignAddress(now, b);
        }
        Backend known = mMembership.backend(id);
        boolean isContinued =
                known != null && isUnchanged(known, b) && mMembership.hasSession(known);
        Backend reported = isContinued ? b.withSession(known.session()) : b;
        int minSession = report(now, reported);
        if (minSession > reported.session()) {
            // Peers announced that it left: only a new session supersedes their announcement.
            report(now, b);
        }
    }

    private int report(Instant now, Backend b) {
        return mMembership.receiveReport(now, new SidecarReport(b, 0, 0, 0));
    }

    private void assignAddress(Instant now, Backend b) {
        Backend previous = mAddresses.assign(b);
        if (previous != null) {
            reportDeparture(now, previous);
        }
    }

    private static boolean isUnchanged(Backend known, Backend b) {
        return known.ref().equals(b.ref())
                && known.state() == b.state()
                && known.slowStart() == b.slowStart()
                && known.version().equals(b.version());
    }

    /**
     * Receives the withdrawal of a backend server that leaves.
     *
     * @param now the current time
     * @param ref the incarnation that leaves; 0 stands for the known incarnation
     * @return the outcome; only {@code TAKEN} changes anything
     */
    public Outcome withdraw(Instant now, BackendRef ref) {
        Backend known = mMembership.backend(ref.id());
        if (known == null) {
            return Outcome.UNKNOWN_SERVER;
        }
        boolean isAnyIncarnation = ref.incarnation() == NO_START_TIME;
        if (!isAnyIncarnation && ref.incarnation() < known.ref().incarnation()) {
            return Outcome.OVERTAKEN;
        }
        reportDeparture(now, isAnyIncarnation ? known : known.withRef(ref));
        return Outcome.TAKEN;
    }

    private void reportDeparture(Instant now, Backend known) {
        Backend left = known.withState(Backend.State.LEFT).withSession(Departure.FINAL_SESSION);
        report(now, left);
    }

    /**
     * Applies the departure of a backend server that reports to this instance and counts as
     * serving: the instance accepted a late announcement before it knew of the departure.
     */
    public void onDeparture(Instant now, Departure d) {
        Backend known = mMembership.backend(d.server().id());
        if (known == null || !d.isLaterThan(known) || !mMembership.hasSession(known)) {
            return;
        }
        report(now, known.withRef(d.server()).withState(d.state()).withSession(d.session()));
    }

    /** Removes the backend servers that are not in the membership. */
    public void prune() {
        mLastAccepted.keySet().removeIf(id -> !mMembership.knows(id));
        mAddresses.prune();
    }

    /** Orders the announcements of one backend server. */
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
