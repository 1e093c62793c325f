package org.laurelweir.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.laurelweir.lib.BackendRef;

/**
 * What one router believes of the load of each backend server: what all routers have there, as
 * control tells it, what the backend server itself tells in an answer, and what this router has
 * sent it since. One of which nothing is known is taken to hold what the others do on the mean and
 * never for idle: to one of many routers nearly all would look so.
 */
public final class LoadEstimator {
    /** Told of a smaller share of all routers' requests, a router does not go by it. */
    private static final double MIN_ROUTER_SHARE = 0.5;

    /** So many reports tell changes only; one that tells all makes good whatever was lost. */
    private static final int REPORTS_UNTIL_FULL = 10;

    private final Map<BackendRef, ServerEstimate> mServers = new HashMap<>();
    private final OwnPartCounts mParts = new OwnPartCounts();
    private Map<String, Double> mMeans = Map.of();
    private Map<Long, Integer> mHotParts = Map.of();
    private Instant mDigestTime = Instant.MIN;
    private Instant mReportTime = Instant.MIN;
    private int mReportsUntilFull;

    /**
     * What is believed of one backend server.
     *
     * @param requests requests of all routers that it has, running or waiting
     * @param ageMillis how long ago that was told, in milliseconds; NaN where nothing was told
     *     lately
     */
    public record Estimate(double requests, double ageMillis) {}

    /**
     * Notes that this router sends a request.
     *
     * @param part the shared part of its prompt, or 0
     */
    public void onRequestSent(BackendRef ref, long part) {
        server(ref).onRequestSent();
        if (part != 0) {
            mParts.add(part, 1);
        }
    }

    /** Notes that a request of this router is over. */
    public void onRequestEnded(BackendRef ref, long part) {
        server(ref).onRequestEnded();
        if (part != 0) {
            mParts.add(part, -1);
        }
    }

    /** Takes what a backend server told in an answer to this router. */
    public void onReportedLoad(Instant now, BackendRef ref, int requests) {
        server(ref).onReportedLoad(now, requests);
    }

    /** Returns the requests of this router alone that a backend server has. */
    public int ownRequests(BackendRef ref) {
        ServerEstimate k = mServers.get(ref);
        return k == null ? 0 : k.ownRequests();
    }

    /** Returns the mean load of a service's backend servers; NaN where it is not known. */
    public double mean(Instant now, String service) {
        return hasRecentDigest(now) ? mMeans.getOrDefault(service, Double.NaN) : Double.NaN;
    }

    /** Returns whether control has told of loads lately. */
    public boolean hasRecentDigest(Instant now) {
        return ServerEstimate.isRecent(now, mDigestTime);
    }

    /** Returns what is believed of a backend server of a service. */
    public Estimate estimate(Instant now, String service, BackendRef ref) {
        ServerEstimate k = mServers.get(ref);
        double mean = mean(now, service);
        if (k == null) {
            return new Estimate(Double.isNaN(mean) ? 0 : mean, Double.NaN);
        }
        return new Estimate(k.estimate(now, mean), k.ageMillis(now));
    }

    /** Returns how many requests of all routers are about a part, where there are several. */
    public int requestsForPart(Instant now, long part) {
        return hasRecentDigest(now) ? mHotParts.getOrDefault(part, 0) : 0;
    }

    /** Returns what control has to be told of what this router has under way. */
    public LoadReport report(Instant now) {
        mReportTime = now;
        boolean whole = mReportsUntilFull-- <= 0;
        if (whole) {
            mReportsUntilFull = REPORTS_UNTIL_FULL;
        }
        mServers.values().removeIf(k -> k.isUnused(now));
        List<BackendLoad> servers = new ArrayList<>();
        mServers.forEach(
                (ref, k) -> {
                    if (k.report(whole)) {
                        servers.add(new BackendLoad(ref, k.ownRequests()));
                    }
                });
        List<PartLoad> parts = mParts.report(whole);
        return new LoadReport(whole, servers, parts);
    }

    /** Control has not answered the last report, or another run of it than the one before has. */
    public void requestFullReport() {
        mReportsUntilFull = 0;
    }

    /**
     * Takes control's answer to the last report, which is as old as that report.
     *
     * @param routers how many routers there are
     * @param serviceOf finds a backend server's service, null where it is gone
     */
    public void onDigest(LoadDigest digest, int routers, Function<BackendRef, String> serviceOf) {
        mServers.values().forEach(ServerEstimate::onReportAcknowledged);
        mParts.onReportAcknowledged();
        if (digest.means().isEmpty() || digest.routers() < MIN_ROUTER_SHARE * routers) {
            return;
        }
        // Routers that have just gone to another control instance are in it twice.
        double once = Math.min(1, (double) routers / digest.routers());
        mMeans = new HashMap<>();
        digest.means().forEach(m -> mMeans.put(m.service(), once * m.requests()));
        mDigestTime = mReportTime;
        mHotParts = new HashMap<>();
        digest.hot().forEach(l -> mHotParts.put(l.part(), l.requests()));
        if (digest.listsAllBusy()) {
            mServers.forEach((ref, k) -> onNotListed(k, serviceOf.apply(ref)));
        }
        digest.busy()
                .forEach(l -> server(l.server()).onDigestLoad(mReportTime, once * l.requests()));
    }

    private void onNotListed(ServerEstimate k, String service) {
        Double mean = mMeans.get(service);
        if (mean != null) {
            k.onNotListed(mReportTime, mean);
        }
    }

    private ServerEstimate server(BackendRef ref) {
        return mServers.computeIfAbsent(ref, r -> new ServerEstimate());
    }
}
