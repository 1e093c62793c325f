package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.LoadTable;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.SharedMembership;

/**
 * Distributes the loads that routers have at backend servers, between routers and between control
 * instances. Nothing is durable, as loads are outdated within seconds.
 */
final class LoadSharing {
    /** Interval between two load messages to the other control instances. */
    private static final Duration PEER_UPDATE_INTERVAL = Duration.ofMillis(100);

    /**
     * Interval at which the load digest is computed. Each computation visits every backend server.
     */
    private static final Duration DIGEST_INTERVAL = Duration.ofMillis(50);

    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

    private final SharedMembership mMembership;
    private final LoadTable mLoads;
    private Instant mNextPeerUpdate = Instant.MIN;
    private Instant mNextDigest = Instant.MIN;
    private Instant mNextExpiry = Instant.MIN;
    private LoadDigest mDigest = LoadDigest.NONE;

    LoadSharing(ControlConfig config, SharedMembership membership) {
        mLoads = new LoadTable(config.name(), config.exchangeInterval());
        mMembership = membership;
    }

    /** Records the load that a router reports for each backend server. */
    void onRouterReport(Instant now, String router, LoadReport loads) {
        mLoads.onRouterReport(now, router, loads);
    }

    /** Records the loads that a peer has sent. */
    void onPeerLoads(Instant now, PeerLoads loads) {
        if (!loads.isEmpty()) {
            mLoads.onPeerLoads(now, loads);
        }
    }

    /**
     * Returns the load digest for a router. It includes the loads that the router has just
     * reported.
     */
    LoadDigest digest(Instant now) {
        if (!now.isBefore(mNextDigest)) {
            mNextDigest = now.plus(DIGEST_INTERVAL);
            mDigest = mLoads.digest(mMembership.backends());
        }
        return mLoads.refreshed(mDigest);
    }

    /**
     * Returns the pending loads for the peers and clears them. Returns nothing if the last message
     * was sent less than the interval ago.
     */
    PeerLoads takePeerUpdate(Instant now) {
        if (now.isBefore(mNextPeerUpdate)) {
            return PeerLoads.NONE;
        }
        mNextPeerUpdate = now.plus(PEER_UPDATE_INTERVAL);
        return mLoads.takePeerUpdate(now);
    }

    /** Returns the number of routers that report here. */
    int localRouters() {
        return mLoads.localRouters();
    }

    /** Returns the number of requests that routers have reported as running at backend servers. */
    int requestCount() {
        return mLoads.requests();
    }

    void expire(Instant now) {
        if (now.isBefore(mNextExpiry)) {
            return;
        }
        mNextExpiry = now.plus(EXPIRY_INTERVAL);
        mLoads.expire(now);
    }
}
