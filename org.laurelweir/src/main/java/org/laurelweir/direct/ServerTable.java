package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.placement.Outliers;

/**
 * What this router knows of single backend servers from calling them, but for their load. Kept of
 * the latest start of each: a server that starts again under its name has no share in the failures
 * of its run before, and what an answer to that run says late is not its own.
 */
final class ServerTable {
    /** Failures in a row that eject; one alone may be the request's own. */
    private static final int FAILURES_TO_EJECT = 2;

    /** How long a first ejection lasts: about as long as a restart of a small server takes. */
    private static final Duration COOLDOWN = Duration.ofSeconds(1);

    /** The longest ejection; a server that has recovered should not wait longer to be tried. */
    private static final Duration MAX_COOLDOWN = Duration.ofSeconds(8);

    /** Half of a service may be ejected at once; beyond that the fault is likely not theirs. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** How long a server is passed over that said it was full: the time of a few short requests. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(100);

    /** How long an address is passed over at which another server answered. */
    private static final Duration REPLACED_PAUSE = Duration.ofSeconds(10);

    /**
     * How long one failure makes a server doubtful. Long enough for other requests to show whether
     * it still fails, short enough that a sound one is not left out for long where none does.
     */
    private static final Duration RECENT_FAILURE_TIME = Duration.ofSeconds(2);

    private final Map<String, Server> mServers = new HashMap<>();
    private final Map<String, Outliers> mOutliers = new HashMap<>();

    void onReportedSlots(BackendRef ref, int slots) {
        server(ref).mSlots = slots;
    }

    void onFull(BackendRef ref, Instant now) {
        server(ref).mPausedUntil = now.plus(FULL_PAUSE);
    }

    void onReplaced(BackendRef ref, Instant now) {
        server(ref).mPausedUntil = now.plus(REPLACED_PAUSE);
    }

    void onSuccess(String service, BackendRef ref) {
        if (isLatest(ref)) {
            outliers(service).onSuccess(ref.id());
        }
    }

    void onFailure(String service, BackendRef ref, int servers, Instant now) {
        if (isLatest(ref)) {
            server(ref).mLastFailure = now;
            outliers(service).onFailure(ref.id(), servers, now);
        }
    }

    /** A server that takes no connection at all is ejected at once. */
    void onUnreachable(String service, BackendRef ref, int servers, Instant now) {
        for (int i = 0; i < FAILURES_TO_EJECT; i++) {
            onFailure(service, ref, servers, now);
        }
    }

    boolean isPassedOver(String service, BackendRef ref, Instant now) {
        Server s = server(ref);
        return now.isBefore(s.mPausedUntil) || outliers(service).isEjected(ref.id(), now);
    }

    /** Returns whether the server is passed over, or has failed lately and not succeeded since. */
    boolean isUnreliable(String service, BackendRef ref, Instant now) {
        boolean failedLately = now.isBefore(server(ref).mLastFailure.plus(RECENT_FAILURE_TIME));
        return isPassedOver(service, ref, now)
                || (failedLately && outliers(service).hasFailed(ref.id()));
    }

    /** Returns the slots that the server told, or 0. */
    int slots(BackendRef ref) {
        return server(ref).mSlots;
    }

    /** Forgets servers that are not known any more. */
    void prune(BackendSource source) {
        List<String> gone =
                mServers.keySet().stream().filter(id -> source.backend(id) == null).toList();
        gone.forEach(this::remove);
    }

    /** What failed at a server counts against nobody once it is gone, and must not be kept. */
    private void remove(String id) {
        mServers.remove(id);
        mOutliers.values().forEach(o -> o.onLeave(id));
    }

    /** Returns the record of a start; that of an earlier one than the latest is kept nowhere. */
    private Server server(BackendRef ref) {
        Server known = mServers.get(ref.id());
        if (known != null && known.mIncarnation > ref.incarnation()) {
            return new Server(ref.incarnation());
        }
        if (known == null || known.mIncarnation < ref.incarnation()) {
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

    private static final class Server {
        private final long mIncarnation;
        private int mSlots;
        private Instant mPausedUntil = Instant.EPOCH;
        private Instant mLastFailure = Instant.EPOCH;

        Server(long incarnation) {
            mIncarnation = incarnation;
        }
    }
}
