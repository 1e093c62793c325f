package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.LoadTable;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.SharedMembership;

/**
 * Passes on between routers, and between control instances, what routers have at backend servers.
 * Nothing of it is durable: it is out of date within seconds.
 */
final class LoadSharing {
    /** Between two messages of loads to the other control instances. */
    private static final Duration PEER_UPDATE_INTERVAL = Duration.ofMillis(100);

    /** How often it is looked for who is busy; that takes a look at every backend server. */
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

    /** Takes what a router has at each backend server. */
    void onRouterReport(Instant now, String router, LoadReport loads) {
        mLoads.onRouterReport(now, router, loads);
    }

    /** Takes what a peer passed on. */
    void onPeerLoads(Instant now, PeerLoads loads) {
        if (!loads.isEmpty()) {
            mLoads.onPeerLoads(now, loads);
        }
    }

    /** Returns what a router is told; what it has just reported is in it. */
    LoadDigest digest(Instant now) {
        if (!now.isBefore(mNextDigest)) {
            mNextDigest = now.plus(DIGEST_INTERVAL);
            mDigest = mLoads.digest(mMembership.backends());
        }
        return mLoads.refreshed(mDigest);
    }

    /** Returns, once, what peers are told now; nothing while the last message is too fresh. */
    PeerLoads takePeerUpdate(Instant now) {
        if (now.isBefore(mNextPeerUpdate)) {
            return PeerLoads.NONE;
        }
        mNextPeerUpdate = now.plus(PEER_UPDATE_INTERVAL);
        return mLoads.takePeerUpdate(now);
    }

    /** Returns how many requests are known to be at backend servers. */
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
