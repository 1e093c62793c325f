package org.laurelweir.sums;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** The sources of {@link SharedSums}: the routers that report here, and the peers. */
public final class ReportSources {
    /** A peer expires after this silence; a live control instance sends an update every second. */
    public static final Duration PEER_TIMEOUT = Duration.ofMillis(1500);

    /** A sum of a peer expires after this time, in which the peer sends three full updates. */
    public static final Duration PEER_SUM_TIMEOUT = Duration.ofMillis(3500);

    /**
     * Number of exchange intervals after which a silent router expires: it has ended, or reports to
     * another control instance.
     */
    private static final int ROUTER_TIMEOUT_INTERVALS = 5;

    private final Duration mRouterTimeout;
    private final Map<String, Instant> mRouters = new HashMap<>();
    private final Map<String, Peer> mPeers = new HashMap<>();

    /**
     * Another control instance that sends the sums over its routers.
     *
     * @param routers the number of routers that report to it; 0 until its first full update
     * @param lastUpdate the time of its last update
     */
    private record Peer(int routers, Instant lastUpdate) {}

    /**
     * Creates a table without sources.
     *
     * @param exchangeInterval the interval at which routers report
     */
    public ReportSources(Duration exchangeInterval) {
        mRouterTimeout = exchangeInterval.multipliedBy(ROUTER_TIMEOUT_INTERVALS);
    }

    /**
     * Records a router's report.
     *
     * @return whether the report can be applied. An incremental report of an unknown router cannot:
     *     the router notices that another control instance or incarnation answers, and sends a full
     *     report next.
     */
    public boolean acceptRouter(Instant now, String router, boolean full) {
        if (!full && !mRouters.containsKey(router)) {
            return false;
        }
        mRouters.put(router, now);
        return true;
    }

    /**
     * Records a peer's update.
     *
     * @param routers the number of routers that report to the peer
     * @param full whether the update lists all sums of the peer
     */
    public void onPeerUpdate(Instant now, String peer, int routers, boolean full) {
        boolean isKnown = full || (mPeers.containsKey(peer) && mPeers.get(peer).routers() > 0);
        mPeers.put(peer, new Peer(isKnown ? routers : 0, now));
    }

    /**
     * Removes the routers and peers that are silent.
     *
     * @param onRouterRemoved receives the names of the removed routers
     * @param onPeerRemoved receives the names of the removed peers
     */
    public void expire(
            Instant now, Consumer<String> onRouterRemoved, Consumer<String> onPeerRemoved) {
        for (String router : timedOut(mRouters, now, at -> at, mRouterTimeout)) {
            mRouters.remove(router);
            onRouterRemoved.accept(router);
        }
        for (String peer : timedOut(mPeers, now, Peer::lastUpdate, PEER_TIMEOUT)) {
            mPeers.remove(peer);
            onPeerRemoved.accept(peer);
        }
    }

    private static <S> List<String> timedOut(
            Map<String, S> sources, Instant now, Function<S, Instant> lastHeard, Duration timeout) {
        return sources.entrySet().stream()
                .filter(e -> !now.isBefore(lastHeard.apply(e.getValue()).plus(timeout)))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of routers that report here. */
    public int localRouters() {
        return mRouters.size();
    }

    /** Returns the number of routers whose reports are included, here or at a peer. */
    public int routers() {
        return mRouters.size() + mPeers.values().stream().mapToInt(Peer::routers).sum();
    }
}
