package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.placement.Outliers;

/** What this router knows of single backend servers from calling them. */
final class ServerTable {
    /** Failures in a row that eject; one alone may be the request's own. */
    private static final int FAILURES = 2;

    /** How long a first ejection lasts: about as long as a restart of a small server takes. */
    private static final Duration COOLDOWN = Duration.ofSeconds(1);

    /** The longest ejection; a server that has recovered should not wait longer to be tried. */
    private static final Duration MAX_COOLDOWN = Duration.ofSeconds(8);

    /** Half of a service may be ejected at once; beyond that the fault is likely not theirs. */
    private static final double MAX_EJECTED = 0.5;

    /** How long a server is passed over that said it was full: the time of a few short requests. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(100);

    /** How long an address is passed over at which another server answered. */
    private static final Duration REPLACED_PAUSE = Duration.ofSeconds(10);

    /** How long a reported load is believed. */
    private static final Duration REPORT_AGE = Duration.ofSeconds(3);

    private final Map<String, Server> mServers = new HashMap<>();
    private final Map<String, Outliers> mOutliers = new HashMap<>();

    void began(String id) {
        server(id).mOwn++;
    }

    void ended(String id) {
        Server s = server(id);
        s.mOwn = Math.max(0, s.mOwn - 1);
    }

    void reported(String id, AnswerFacts.ReportedLoad load, Instant now) {
        Server s = server(id);
        s.mReported = load.running() + load.waiting();
        s.mOwnAtReport = s.mOwn;
        s.mReportedAt = now;
        s.mSlots = load.slots();
    }

    void full(String id, Instant now) {
        server(id).mPausedUntil = now.plus(FULL_PAUSE);
    }

    void replaced(String id, Instant now) {
        server(id).mPausedUntil = now.plus(REPLACED_PAUSE);
    }

    void succeeded(String service, String id) {
        outliers(service).onSuccess(id);
    }

    void failed(String service, String id, int servers, Instant now) {
        outliers(service).onFailure(id, servers, now);
    }

    /** A server that takes no connection at all is ejected at once. */
    void unreachable(String service, String id, int servers, Instant now) {
        for (int i = 0; i < FAILURES; i++) {
            failed(service, id, servers, now);
        }
    }

    boolean isPassedOver(String service, String id, Instant now) {
        return now.isBefore(server(id).mPausedUntil) || outliers(service).isEjected(id, now);
    }

    /**
     * Returns the requests that the server is believed to have, those of other routers included.
     */
    int load(String id, Instant now) {
        Server s = server(id);
        if (s.mReportedAt.plus(REPORT_AGE).isBefore(now)) {
            return s.mOwn;
        }
        return Math.max(s.mOwn, s.mReported - s.mOwnAtReport + s.mOwn);
    }

    /** Returns the slots that the server told, or 0. */
    int slots(String id) {
        return server(id).mSlots;
    }

    /** Forgets servers that are not known any more and run nothing of this router. */
    void prune(BackendSource source) {
        List<String> gone =
                mServers.keySet().stream()
                        .filter(id -> source.backend(id) == null && server(id).mOwn == 0)
                        .toList();
        gone.forEach(this::forget);
    }

    /** What failed at a server counts against nobody once it is gone, and must not be kept. */
    private void forget(String id) {
        mServers.remove(id);
        mOutliers.values().forEach(o -> o.onLeave(id));
    }

    private Server server(String id) {
        return mServers.computeIfAbsent(id, i -> new Server());
    }

    private Outliers outliers(String service) {
        return mOutliers.computeIfAbsent(
                service,
                s ->
                        new Outliers(
                                new OutlierConfig(FAILURES, COOLDOWN, MAX_COOLDOWN, MAX_EJECTED)));
    }

    private static final class Server {
        private int mOwn;
        private int mReported;
        private int mOwnAtReport;
        private int mSlots;
        private Instant mReportedAt = Instant.EPOCH;
        private Instant mPausedUntil = Instant.EPOCH;
    }
}
