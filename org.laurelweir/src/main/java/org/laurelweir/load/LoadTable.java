package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.sums.ReportSources;

/**
 * Adds up the requests in flight of all routers at one control instance, from the routers that
 * report to it and from its peers. A router knows only its own requests; the load of a backend
 * server is the sum over all routers.
 */
public final class LoadTable {
    static final Duration PEER_TIMEOUT = ReportSources.PEER_TIMEOUT;

    /** Interval of the full updates for the peers. */
    private static final Duration FULL_UPDATE_INTERVAL = Duration.ofSeconds(1);

    /** Minimum number of requests that makes a prompt part hot; a single home handles fewer. */
    private static final int MIN_HOT_REQUESTS = 3;

    private final String mSelf;
    private final ReportSources mSources;
    private final SharedCounts<BackendRef> mServers = new SharedCounts<>();
    private final SharedCounts<Long> mParts = new SharedCounts<>();
    private Instant mNextFullUpdate = Instant.MIN;

    /**
     * Creates an empty table.
     *
     * @param self the name of this control instance
     * @param exchangeInterval the interval at which routers report
     */
    public LoadTable(String self, Duration exchangeInterval) {
        mSelf = self;
        mSources = new ReportSources(exchangeInterval);
    }

    /**
     * Applies the load report of a router. An incremental report of an unknown router is ignored:
     * the router notices that another control instance or incarnation answers, and sends a full
     * report next.
     */
    public void onRouterReport(Instant now, String router, LoadReport report) {
        if (!mSources.acceptRouter(now, router, report.full())) {
            return;
        }
        Map<BackendRef, Integer> servers = new HashMap<>();
        report.servers().forEach(l -> servers.put(l.server(), l.requests()));
        Map<Long, Integer> parts = new HashMap<>();
        report.parts().forEach(l -> parts.put(l.part(), l.requests()));
        if (report.full()) {
            mServers.replace(router, servers);
            mParts.replace(router, parts);
        } else {
            mServers.update(router, servers);
            mParts.update(router, parts);
        }
    }

    /** Applies the update of a peer. */
    public void onPeerLoads(Instant now, PeerLoads update) {
        String peer = update.control();
        mSources.onPeerUpdate(now, peer, update.routers(), update.sums().full());
        update.sums()
                .servers()
                .forEach(l -> mServers.putPeerCount(now, peer, l.server(), l.requests()));
        update.sums().parts().forEach(l -> mParts.putPeerCount(now, peer, l.part(), l.requests()));
    }

    /**
     * Returns the pending update for the peers, and clears it. The update is empty if nothing has
     * changed and no full update is due.
     */
    public PeerLoads takePeerUpdate(Instant now) {
        boolean isFull = !now.isBefore(mNextFullUpdate) && mSources.localRouters() > 0;
        if (isFull) {
            mNextFullUpdate = now.plus(FULL_UPDATE_INTERVAL);
            mServers.markAllPending();
            mParts.markAllPending();
        } else if (mServers.isNothingPending() && mParts.isNothingPending()) {
            return PeerLoads.NONE;
        }
        List<BackendLoad> servers = new ArrayList<>();
        mServers.takePending((ref, n) -> servers.add(new BackendLoad(ref, n)));
        List<PartLoad> parts = new ArrayList<>();
        mParts.takePending((part, n) -> parts.add(new PartLoad(part, n)));
        return new PeerLoads(
                mSelf, mSources.localRouters(), new LoadReport(isFull, servers, parts));
    }

    /** Removes the routers and peers that are silent, and the counts that peers do not repeat. */
    public void expire(Instant now) {
        mSources.expire(now, this::removeRouter, this::removePeer);
        mServers.expire(now, ReportSources.PEER_SUM_TIMEOUT);
        mParts.expire(now, ReportSources.PEER_SUM_TIMEOUT);
    }

    private void removeRouter(String router) {
        mServers.removeSource(router);
        mParts.removeSource(router);
    }

    private void removePeer(String peer) {
        mServers.removePeer(peer);
        mParts.removePeer(peer);
    }

    /** Returns the number of routers that report here. */
    public int localRouters() {
        return mSources.localRouters();
    }

    /** Returns the number of routers whose requests are known. */
    public int routers() {
        return mSources.routers();
    }

    /** Returns the number of requests that are known to be in flight. */
    public int requests() {
        int[] sum = {0};
        mServers.forEach((ref, n) -> sum[0] += n);
        return sum[0];
    }

    /**
     * Returns the load digest for the routers.
     *
     * @param backends all known backend servers; only those that accept new requests are included
     */
    public LoadDigest digest(Collection<Backend> backends) {
        Map<String, List<BackendLoad>> byService = new HashMap<>();
        for (Backend b : backends) {
            if (b.state() == Backend.State.SERVING) {
                byService.computeIfAbsent(b.service(), s -> new ArrayList<>()).add(load(b.ref()));
            }
        }
        List<MeanLoad> means = new ArrayList<>();
        List<Busy> busy = new ArrayList<>();
        byService.forEach(
                (service, loads) -> {
                    double mean =
                            loads.stream().mapToInt(BackendLoad::requests).average().orElse(0);
                    means.add(new MeanLoad(service, mean));
                    loads.stream()
                            .filter(l -> l.requests() > mean)
                            .forEach(l -> busy.add(new Busy(l, mean)));
                });
        return new LoadDigest(
                routers(),
                means,
                largest(busy, Busy::excess, LoadDigest.MAX_BUSY).stream().map(Busy::load).toList(),
                hotParts());
    }

    /** Returns a copy of a digest with the current loads of the busy backend servers in it. */
    public LoadDigest refreshed(LoadDigest digest) {
        List<BackendLoad> busy = digest.busy().stream().map(l -> load(l.server())).toList();
        return new LoadDigest(digest.routers(), digest.means(), busy, digest.hot());
    }

    private BackendLoad load(BackendRef ref) {
        return new BackendLoad(ref, mServers.get(ref));
    }

    private List<PartLoad> hotParts() {
        List<PartLoad> hot = new ArrayList<>();
        mParts.forEach(
                (part, n) -> {
                    if (n >= MIN_HOT_REQUESTS) {
                        hot.add(new PartLoad(part, n));
                    }
                });
        return largest(hot, PartLoad::requests, LoadDigest.MAX_HOT_PARTS);
    }

    private static <T> List<T> largest(List<T> all, ToDoubleFunction<T> value, int limit) {
        if (all.size() <= limit) {
            return all;
        }
        return all.stream()
                .sorted(Comparator.comparingDouble(value).reversed())
                .limit(limit)
                .toList();
    }

    /** A backend server above the mean load of its service. */
    private record Busy(BackendLoad load, double mean) {
        /** Returns the load relative to the mean, because the loads of services differ. */
        double excess() {
            return load.requests() / (mean + 1);
        }
    }
}
