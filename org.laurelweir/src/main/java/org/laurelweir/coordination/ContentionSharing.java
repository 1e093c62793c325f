package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.contention.ContentionTable;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.SharedMembership;

/**
 * Distributes the demand of contended deployments between routers and between control instances.
 * Nothing is durable, as the numbers are outdated within seconds.
 */
final class ContentionSharing {
    /** Interval between two messages to the other control instances. */
    private static final Duration PEER_UPDATE_INTERVAL = Duration.ofMillis(100);

    /**
     * Interval at which the digest is computed. Each computation visits every backend server and
     * every client account with tokens, thousands of each.
     */
    private static final Duration DIGEST_INTERVAL = Duration.ofMillis(100);

    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

    private static final LoadReport NO_CHANGES = new LoadReport(false, List.of(), List.of());

    private final String mSelf;
    private final SharedMembership mMembership;
    private final ContentionTable mDemand;
    private Instant mNextPeerUpdate = Instant.MIN;
    private Instant mNextDigest = Instant.MIN;
    private Instant mNextExpiry = Instant.MIN;
    private ContentionDigest mDigest = ContentionDigest.NONE;

    ContentionSharing(ControlConfig config, SharedMembership membership) {
        mSelf = config.name();
        mDemand = new ContentionTable(config.exchangeInterval());
        mMembership = membership;
    }

    /**
     * Records the demand that a router reports, and returns the digest for it. The digest is empty
     * if the router never had any demand, or if its report could not be applied.
     */
    ContentionDigest onRouterReport(Instant now, String router, ContentionReport report) {
        boolean isApplied = mDemand.onRouterReport(now, router, report);
        if (!isApplied || report.equals(ContentionReport.NONE)) {
            return ContentionDigest.NONE;
        }
        if (!now.isBefore(mNextDigest)) {
            mNextDigest = now.plus(DIGEST_INTERVAL);
            mDigest = mDemand.digest(mMembership.backends());
        }
        return mDemand.refreshed(mDigest);
    }

    /** Records the demand that a peer has sent with its loads. */
    void onPeerLoads(Instant now, PeerLoads loads) {
        if (!loads.isEmpty()) {
            boolean full = loads.sums().full();
            mDemand.onPeerSums(now, loads.control(), loads.routers(), full, loads.contention());
        }
    }

    /**
     * Adds the pending demand to the loads that go to the peers, and clears it. A full update of
     * the loads contains all demand too.
     *
     * @param loadRouters the number of routers whose loads have been reported here
     */
    PeerLoads addTo(Instant now, PeerLoads loads, int loadRouters) {
        if (loads.isEmpty() && now.isBefore(mNextPeerUpdate)) {
            return loads;
        }
        mNextPeerUpdate = now.plus(PEER_UPDATE_INTERVAL);
        boolean full = !loads.isEmpty() && loads.sums().full();
        ContentionReport demand = mDemand.takePeerSums(full);
        if (loads.isEmpty() && demand.equals(ContentionReport.NONE)) {
            return loads;
        }
        // After a restart of this instance, the loads of a router may be known before its demand,
        // or the other way round. A router that lacks in one of the sums must not count.
        int routers = Math.min(loadRouters, mDemand.localRouters());
        LoadReport sums = loads.isEmpty() ? NO_CHANGES : loads.sums();
        return new PeerLoads(mSelf, routers, sums, demand);
    }

    void expire(Instant now) {
        if (now.isBefore(mNextExpiry)) {
            return;
        }
        mNextExpiry = now.plus(EXPIRY_INTERVAL);
        mDemand.expire(now);
    }
}
