package org.laurelweir.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.laurelweir.lib.BackendRef;

/**
 * Estimates the load of each backend server for one router. An estimate combines the sum over all
 * routers in the load digests of control, the load that the backend server reports in its answers,
 * and the requests that this router has sent since. A backend server of unknown load is estimated
 * at the mean of its service, and not as idle: to one of many routers nearly all servers would seem
 * idle.
 */
public final class LoadEstimator {
    /** A load digest that covers a smaller share of all routers is ignored. */
    private static final double MIN_ROUTER_SHARE = 0.5;

    /** Number of incremental reports between full ones; a full report repairs any loss. */
    private static final int REPORTS_UNTIL_FULL = 10;

    private final Map<BackendRef, ServerEstimate> mServers = new HashMap<>();
    private final OwnPartCounts mParts = new OwnPartCounts();
    private Map<String, Double> mMeans = Map.of();
    private Map<Long, Integer> mHotParts = Map.of();
    private Instant mDigestTime = Instant.MIN;
    private Instant mReportTime = Instant.MIN;
    private int mReportsUntilFull;

    /**
     * The estimated load of a backend server.
     *
     * @param requests number of requests of all routers, running or waiting
     * @param ageMillis age of the load in milliseconds; NaN if no recent load is known
     */
    public record Estimate(double requests, double ageMillis) {}

    /**
     * Records that this router sends a request to a backend server.
     *
     * @param part id of the shared part of its prompt, or 0
     */
    public void onRequestSent(BackendRef ref, long part) {
        server(ref).onRequestSent();
        if (part != 0) {
            mParts.add(part, 1);
        }
    }

    /** Records that a request of this router has ended. */
    public void onRequestEnded(BackendRef ref, long part) {
        server(ref).onRequestEnded();
        if (part != 0) {
            mParts.add(part, -1);
        }
    }

    /** Applies the number of requests that a backend server reports in an answer to this router. */
    public void onReportedLoad(Instant now, BackendRef ref, int requests) {
        server(ref).onReportedLoad(now, requests);
    }

    /** Returns the number of this router's own requests at a backend server. */
    public int ownRequests(BackendRef ref) {
        ServerEstimate e = mServers.get(ref);
        return e == null ? 0 : e.ownRequests();
    }

    /**
     * Returns the mean load of the backend servers of a service; NaN if no recent mean is known.
     */
    public double mean(Instant now, String service) {
        return hasRecentDigest(now) ? mMeans.getOrDefault(service, Double.NaN) : Double.NaN;
    }

    /** Returns whether the last applied load digest is recent. */
    public boolean hasRecentDigest(Instant now) {
        return ServerEstimate.isRecent(now, mDigestTime);
    }

    /** Returns the estimated load of a backend server of a service. */
    public Estimate estimate(Instant now, String service, BackendRef ref) {
        ServerEstimate e = mServers.get(ref);
        double mean = mean(now, service);
        if (e == null) {
            return new Estimate(Double.isNaN(mean) ? 0 : mean, Double.NaN);
        }
        return new Estimate(e.estimate(now, mean), e.ageMillis(now));
    }

    /** Returns the number of requests of all routers with a hot prompt part, 0 for other parts. */
    public int requestsForPart(Instant now, long part) {
        return hasRecentDigest(now) ? mHotParts.getOrDefault(part, 0) : 0;
    }

    /** Returns the next report to control of this router's requests in flight. */
    public LoadReport report(Instant now) {
        mReportTime = now;
        boolean full = mReportsUntilFull-- <= 0;
        if (full) {
            mReportsUntilFull = REPORTS_UNTIL_FULL;
        }
        mServers.values().removeIf(e -> e.isUnused(now));
        List<BackendLoad> servers = new ArrayList<>();
        mServers.forEach(
                (ref, e) -> {
                    if (e.report(full)) {
                        servers.add(new BackendLoad(ref, e.ownRequests()));
                    }
                });
        List<PartLoad> parts = mParts.report(full);
        return new LoadReport(full, servers, parts);
    }

    /**
     * Makes the next report a full one. Needed if control has not acknowledged the last report, or
     * if another incarnation of control has.
     */
    public void requestFullReport() {
        mReportsUntilFull = 0;
    }

    /**
     * Applies the load digest with which control answers the last report. Its loads count as being
     * as old as that report.
     *
     * @param routers the number of routers in the fleet
     * @param serviceOf returns the service of a backend server, or null if it is unknown
     */
    public void onDigest(LoadDigest digest, int routers, Function<BackendRef, String> serviceOf) {
        mServers.values().forEach(ServerEstimate::onReportAcknowledged);
        mParts.onReportAcknowledged();
        if (digest.means().isEmpty() || digest.routers() < MIN_ROUTER_SHARE * routers) {
            return;
        }
        // Routers that have just switched to another control instance are counted twice.
        double scale = Math.min(1, (double) routers / digest.routers());
        mMeans = new HashMap<>();
        digest.means().forEach(m -> mMeans.put(m.service(), scale * m.requests()));
        mDigestTime = mReportTime;
        mHotParts = new HashMap<>();
        digest.hot().forEach(l -> mHotParts.put(l.part(), l.requests()));
        if (digest.listsAllBusy()) {
            mServers.forEach((ref, e) -> onNotListed(e, serviceOf.apply(ref)));
        }
        digest.busy()
                .forEach(l -> server(l.server()).onDigestLoad(mReportTime, scale * l.requests()));
    }

    private void onNotListed(ServerEstimate e, String service) {
        Double mean = mMeans.get(service);
        if (mean != null) {
            e.onNotListed(mReportTime, mean);
        }
    }

    private ServerEstimate server(BackendRef ref) {
        return mServers.computeIfAbsent(ref, r -> new ServerEstimate());
    }
}
