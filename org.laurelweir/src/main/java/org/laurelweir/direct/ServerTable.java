package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.DirectAnnouncements;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.placement.Outliers;

/**
 * Records what this router's own calls show about each backend server, except for its load: slots,
 * failures and pauses. Only the latest incarnation of a server is recorded. A restarted server does
 * not inherit the failures of its earlier incarnation, and late answers of an earlier incarnation
 * do not change the record.
 */
final class ServerTable {
    /** Number of consecutive failures that eject a server; the request may cause a single one. */
    private static final int FAILURES_TO_EJECT = 2;

    /** Duration of the first ejection, about the time in which a small server restarts. */
    private static final Duration COOLDOWN = Duration.ofSeconds(1);

    /** Maximum duration of an ejection, so that a recovered server is soon tried again. */
    private static final Duration MAX_COOLDOWN = Duration.ofSeconds(8);

    /**
     * Maximum share of a service that is ejected; if more servers fail, the cause lies elsewhere.
     */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** How long a full server is passed over, about the time of a few short requests. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(100);

    /** How long a server is passed over after another server answered at its address. */
    private static final Duration REPLACED_PAUSE = Duration.ofSeconds(10);

    /**
     * How long a server counts as unreliable after a failure. This is long enough for other
     * requests to show whether it still fails, and short enough that a healthy server is not
     * avoided for long if there are no such requests.
     */
    private static final Duration RECENT_FAILURE_TIME = Duration.ofSeconds(2);

    /**
     * How long after a lost connection another run may answer at a server's address without this
     * router's knowledge: until the run has announced itself, and the announcement, which may be
     * seconds late, has come here.
     */
    private static final Duration RUN_DOUBT_TIME = Duration.ofSeconds(3);

    private final Map<String, Server> mServers = new HashMap<>();
    private final Map<String, Server> mInBackoff = new HashMap<>();
    private final Map<String, Outliers> mOutliers = new HashMap<>();

    /** Whether lookups leave the records unchanged. */
    private boolean mIsFrozen;

    /**
     * Sets whether lookups leave the records unchanged. Otherwise the lookup of a later incarnation
     * removes the record of the earlier one.
     */
    void setFrozen(boolean frozen) {
        mIsFrozen = frozen;
    }

    /** Records the number of slots that a server reports. */
    void onReportedSlots(BackendRef ref, int slots) {
        server(ref).mSlots = slots;
    }

    /** Passes over, for a moment, a server that rejected a request because it is full. */
    void onFull(BackendRef ref, Instant now) {
        pause(ref, now.plus(FULL_PAUSE));
    }

    /** Passes over a server at whose address another server answered. */
    void onReplaced(BackendRef ref, Instant now) {
        pause(ref, now.plus(REPLACED_PAUSE));
    }

    private void pause(BackendRef ref, Instant end) {
        Server s = server(ref);
        s.mPausedUntil = later(s.mPausedUntil, end);
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    /**
     * Records that a server wants no request until a time. A backoff that ends later remains.
     *
     * @return whether it was recorded; false if an earlier incarnation of the server asked for it
     */
    boolean onBackoff(BackendRef ref, Instant end) {
        if (!isLatest(ref)) {
            return false;
        }
        Server s = server(ref);
        s.mBackoffEnd = later(s.mBackoffEnd, end);
        mInBackoff.put(ref.id(), s);
        return true;
    }

    /** Returns when the backoff of a server ends, or empty if it is not in backoff. */
    Optional<Instant> backoffEnd(BackendRef ref, Instant now) {
        Instant end = server(ref).mBackoffEnd;
        return now.isBefore(end) ? Optional.of(end) : Optional.empty();
    }

    /** Returns the number of servers in backoff. */
    int backoffCount(Instant now) {
        mInBackoff.values().removeIf(s -> !now.isBefore(s.mBackoffEnd));
        return mInBackoff.size();
    }

    /** Records that a server answered a request of a service without a failure. */
    void onSuccess(String service, BackendRef ref) {
        if (isLatest(ref)) {
            outliers(service).onSuccess(ref.id());
        }
    }

    /**
     * Records a failure of a server.
     *
     * @param servers the number of servers of the service, which limits ejections
     */
    void onFailure(String service, BackendRef ref, int servers, Instant now) {
        if (isLatest(ref)) {
            server(ref).mLastFailure = now;
            outliers(service).onFailure(ref.id(), servers, now);
        }
    }

    /** Ejects a server that accepts no connection, without waiting for further failures. */
    void onUnreachable(String service, BackendRef ref, int servers, Instant now) {
        for (int i = 0; i < FAILURES_TO_EJECT; i++) {
            onFailure(service, ref, servers, now);
        }
    }

    /** Records that a server closed a connection within an answer, or accepts none. */
    void onConnectionLost(BackendRef ref, Instant now) {
        server(ref).mConnectionLost = now;
    }

    /**
     * Records that a server went on with a call. If the call was started before another one lost
     * its connection, the run has not ended with that: its end closes all connections.
     */
    void onAlive(BackendRef ref, Instant callStart) {
        Server s = server(ref);
        if (callStart.isBefore(s.mConnectionLost)) {
            s.mConnectionLost = Instant.MIN;
        }
    }

    /**
     * Returns whether a server may have started anew since it was announced, under the same name
     * and perhaps with another version. Servers that tell no start time have a new name after each
     * start.
     */
    boolean isRunInDoubt(BackendRef ref, Instant now) {
        return ref.incarnation() != DirectAnnouncements.NO_START_TIME
                && now.isBefore(server(ref).mConnectionLost.plus(RUN_DOUBT_TIME));
    }

    /**
     * Returns whether a server is ejected, paused because it was full or replaced, or in backoff.
     */
    boolean isPassedOver(String service, BackendRef ref, Instant now) {
        return isPaused(ref, now) || isRecorded(ref) && outliers(service).isEjected(ref.id(), now);
    }

    /** Returns whether a server is paused because it was full or replaced, or in backoff. */
    boolean isPaused(BackendRef ref, Instant now) {
        Server s = server(ref);
        return now.isBefore(s.mPausedUntil) || now.isBefore(s.mBackoffEnd);
    }

    /** Returns whether a server is passed over, or failed recently without a success since. */
    boolean isUnreliable(String service, BackendRef ref, Instant now) {
        boolean failedRecently = now.isBefore(server(ref).mLastFailure.plus(RECENT_FAILURE_TIME));
        return isPassedOver(service, ref, now)
                || (failedRecently && outliers(service).hasFailed(ref.id()));
    }

    /** Returns whether failures that are recorded under a server's id are not of an earlier run. */
    private boolean isRecorded(BackendRef ref) {
        Server known = mServers.get(ref.id());
        return known == null || known.mIncarnation >= ref.incarnation();
    }

    /** Returns the number of slots that a server reported, or 0 if it reported none. */
    int slots(BackendRef ref) {
        return server(ref).mSlots;
    }

    /**
     * Removes the records of servers that are no longer announced. A server in backoff may be
     * announced again before the end of its backoff, so its record remains until then.
     */
    void prune(BackendSource backends, Instant now) {
        List<String> departed =
                mServers.entrySet().stream()
                        .filter(e -> backends.backend(e.getKey()) == null)
                        .filter(e -> !now.isBefore(e.getValue().mBackoffEnd))
                        .map(Map.Entry::getKey)
                        .toList();
        departed.forEach(this::remove);
    }

    /** Removes a server with its failures, so that they do not count towards the share ejected. */
    private void remove(String id) {
        mServers.remove(id);
        mInBackoff.remove(id);
        mOutliers.values().forEach(o -> o.onLeave(id));
    }

    /**
     * Returns the record of an incarnation. A newer incarnation replaces the recorded one; for an
     * older one, a temporary record is returned that is not stored.
     */
    private Server server(BackendRef ref) {
        Server known = mServers.get(ref.id());
        if (known != null && known.mIncarnation > ref.incarnation()) {
            return new Server(ref.incarnation());
        }
        boolean isOutdated = known == null || known.mIncarnation < ref.incarnation();
        if (isOutdated && mIsFrozen) {
            return new Server(ref.incarnation());
        }
        if (isOutdated) {
            remove(ref.id());
            known = new Server(ref.incarnation());
            mServers.put(ref.id(), known);
        }
        return known;
    }

    private boolean isLatest(BackendRef ref) {
        return server(ref) == mServers.get(ref.id());
    }

    private Outliers outliers(String service) {
        return mOutliers.computeIfAbsent(
                service,
                s ->
                        new Outliers(
                                new OutlierConfig(
                                        FAILURES_TO_EJECT,
                                        COOLDOWN,
                                        MAX_COOLDOWN,
                                        MAX_EJECTED_SHARE)));
    }

    /** The record of one incarnation of a server. */
    private static final class Server {
        private final long mIncarnation;
        private int mSlots;
        private Instant mPausedUntil = Instant.EPOCH;
        private Instant mBackoffEnd = Instant.EPOCH;
        private Instant mLastFailure = Instant.EPOCH;
        private Instant mConnectionLost = Instant.MIN;

        Server(long incarnation) {
            mIncarnation = incarnation;
        }
    }
}
