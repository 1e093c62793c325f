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
    private static final double LEAST_ROUTERS = 0.5;

    /** So many reports tell changes only; one that tells all makes good whatever was lost. */
    private static final int REPORTS_UNTIL_WHOLE = 10;

    private final Map<BackendRef, KnownLoad> mKnown = new HashMap<>();
    private final OwnParts mParts = new OwnParts();
    private Map<String, Double> mMeans = Map.of();
    private Map<Long, Integer> mHotParts = Map.of();
    private Instant mMeansAt = Instant.MIN;
    private Instant mReportedAt = Instant.MIN;
    private int mUntilWhole;

    /**
     * What is believed of one backend server.
     *
     * @param requests requests of all routers that it has, running or waiting
     * @param ageMillis how long ago that was told, in milliseconds; NaN where nothing was told
     *     lately
     */
    public record Belief(double requests, double ageMillis) {}

    /**
     * Notes that this router sends a request.
     *
     * @param part the shared part of its prompt, or 0
     */
    public void began(BackendRef ref, long part) {
        known(ref).begin();
        if (part != 0) {
            mParts.add(part, 1);
        }
    }

    /** Notes that a request of this router is over. */
    public void ended(BackendRef ref, long part) {
        known(ref).end();
        if (part != 0) {
            mParts.add(part, -1);
        }
    }

    /** Takes what a backend server told in an answer to this router. */
    public void heard(Instant now, BackendRef ref, int requests) {
        known(ref).heard(now, requests);
    }

    /** Returns the requests of this router alone that a backend server has. */
    public int own(BackendRef ref) {
        KnownLoad k = mKnown.get(ref);
        return k == null ? 0 : k.own();
    }

    /** Returns the mean load of a service's backend servers; NaN where it is not known. */
    public double mean(Instant now, String service) {
        return hasRecentDigest(now) ? mMeans.getOrDefault(service, Double.NaN) : Double.NaN;
    }

    /** Returns whether control has told of loads lately. */
    public boolean hasRecentDigest(Instant now) {
        return KnownLoad.isBelieved(now, mMeansAt);
    }

    /** Returns what is believed of a backend server of a service. */
    public Belief of(Instant now, String service, BackendRef ref) {
        KnownLoad k = mKnown.get(ref);
        double mean = mean(now, service);
        if (k == null) {
            return new Belief(Double.isNaN(mean) ? 0 : mean, Double.NaN);
        }
        return new Belief(k.believed(now, mean), k.ageMillis(now));
    }

    /** Returns how many requests of all routers are about a part, where there are several. */
    public int aboutPart(Instant now, long part) {
        return hasRecentDigest(now) ? mHotParts.getOrDefault(part, 0) : 0;
    }

    /** Returns what control has to be told of what this router has under way. */
    public LoadReport report(Instant now) {
        mReportedAt = now;
        boolean whole = mUntilWhole-- <= 0;
        if (whole) {
            mUntilWhole = REPORTS_UNTIL_WHOLE;
        }
        mKnown.values().removeIf(k -> k.isForgotten(now));
        List<BackendLoad> servers = new ArrayList<>();
        mKnown.forEach(
                (ref, k) -> {
                    if (k.report(whole)) {
                        servers.add(new BackendLoad(ref, k.own()));
                    }
                });
        List<PartLoad> parts = mParts.report(whole);
        return new LoadReport(whole, servers, parts);
    }

    /** Control has not answered the last report, or another run of it than the one before has. */
    public void requestFullReport() {
        mUntilWhole = 0;
    }

    /**
     * Takes control's answer to the last report, which is as old as that report.
     *
     * @param routers how many routers there are
     * @param serviceOf finds a backend server's service, null where it is gone
     */
    public void onDigest(LoadDigest digest, int routers, Function<BackendRef, String> serviceOf) {
        mKnown.values().forEach(KnownLoad::taken);
        mParts.taken();
        if (digest.means().isEmpty() || digest.routers() < LEAST_ROUTERS * routers) {
            return;
        }
        // Routers that have just gone to another control instance are in it twice.
        double once = Math.min(1, (double) routers / digest.routers());
        mMeans = new HashMap<>();
        digest.means().forEach(m -> mMeans.put(m.service(), once * m.requests()));
        mMeansAt = mReportedAt;
        mHotParts = new HashMap<>();
        digest.hot().forEach(l -> mHotParts.put(l.part(), l.requests()));
        if (digest.namesAllBusy()) {
            mKnown.forEach((ref, k) -> notNamed(k, serviceOf.apply(ref)));
        }
        digest.busy().forEach(l -> known(l.server()).told(mReportedAt, once * l.requests()));
    }

    private void notNamed(KnownLoad k, String service) {
        Double mean = mMeans.get(service);
        if (mean != null) {
            k.notNamed(mReportedAt, mean);
        }
    }

    private KnownLoad known(BackendRef ref) {
        return mKnown.computeIfAbsent(ref, r -> new KnownLoad());
    }
}
