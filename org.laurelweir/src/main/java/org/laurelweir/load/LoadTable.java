package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/**
 * What all routers have under way, as one control instance knows it: from the routers that report
 * to it, and from its peers. A router knows what it has sent where; only the sum over all of them
 * is what a backend server has.
 */
public final class LoadTable {
    /** A control instance that is silent this long has ended; a live one speaks each second. */
    static final Duration PEER_TIMEOUT = Duration.ofMillis(1500);

    /** What a peer told counts this long: it tells all again three times in that. */
    static final Duration PEER_COUNT_TIMEOUT = Duration.ofMillis(3500);

    private static final Duration FULL_UPDATE_INTERVAL = Duration.ofSeconds(1);

    /**
     * Intervals of exchanges after which a silent router has ended, or gone to another instance.
     */
    private static final int ROUTER_TIMEOUT_INTERVALS = 5;

    /** Requests about a part from which on routers are told of it; its home takes fewer anyway. */
    private static final int MIN_HOT_REQUESTS = 3;

    private final String mSelf;
    private final Duration mRouterTimeout;
    private final Map<String, Instant> mRouters = new HashMap<>();
    private final Map<String, Peer> mPeers = new HashMap<>();
    private final SharedCounts<BackendRef> mServers = new SharedCounts<>();
    private final SharedCounts<Long> mParts = new SharedCounts<>();
    private Instant mNextFullUpdate = Instant.MIN;

    /**
     * A control instance that passes on what its routers have.
     *
     * @param routers how many report to it; 0 before it has told all that they have
     */
    private record Peer(int routers, Instant lastUpdate) {}

    /**
     * Creates an empty table.
     *
     * @param self the control instance's name
     * @param exchangeInterval how often routers report
     */
    public LoadTable(String self, Duration exchangeInterval) {
        mSelf = self;
        mRouterTimeout = exchangeInterval.multipliedBy(ROUTER_TIMEOUT_INTERVALS);
    }

    /**
     * Takes what a router has under way. One that tells changes only, of what is not known here, is
     * passed over: it tells everything next, since another run than before has answered it.
     */
    public void onRouterReport(Instant now, String router, LoadReport report) {
        if (!report.full() && !mRouters.containsKey(router)) {
            return;
        }
        mRouters.put(router, now);
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

    /** Takes what a peer's routers have under way. */
    public void onPeerLoads(Instant now, PeerLoads told) {
        String peer = told.control();
        boolean known =
                told.sums().full() || (mPeers.containsKey(peer) && mPeers.get(peer).routers() > 0);
        mPeers.put(peer, new Peer(known ? told.routers() : 0, now));
        told.sums()
                .servers()
                .forEach(l -> mServers.putPeerCount(now, peer, l.server(), l.requests()));
        told.sums().parts().forEach(l -> mParts.putPeerCount(now, peer, l.part(), l.requests()));
    }

    /** Returns, once, what peers are told; nothing while they know it. */
    public PeerLoads takePeerUpdate(Instant now) {
        boolean tellsAll = !now.isBefore(mNextFullUpdate) && !mRouters.isEmpty();
        if (tellsAll) {
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
        return new PeerLoads(mSelf, mRouters.size(), new LoadReport(tellsAll, servers, parts));
    }

    /** Forgets who is silent. */
    public void expire(Instant now) {
        timedOut(mRouters, now, at -> at, mRouterTimeout).forEach(this::removeRouter);
        timedOut(mPeers, now, Peer::lastUpdate, PEER_TIMEOUT).forEach(this::removePeer);
        mServers.expire(now, PEER_COUNT_TIMEOUT);
        mParts.expire(now, PEER_COUNT_TIMEOUT);
    }

    private static <S> List<String> timedOut(
            Map<String, S> sources, Instant now, Function<S, Instant> heardAt, Duration after) {
        return sources.entrySet().stream()
                .filter(e -> hasElapsed(now, heardAt.apply(e.getValue()), after))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void removeRouter(String router) {
        mRouters.remove(router);
        mServers.removeSource(router);
        mParts.removeSource(router);
    }

    private void removePeer(String peer) {
        mPeers.remove(peer);
        mServers.removePeer(peer);
        mParts.removePeer(peer);
    }

    private static boolean hasElapsed(Instant now, Instant since, Duration time) {
        return !now.isBefore(since.plus(time));
    }

    /** Returns how many routers' requests are known. */
    public int routers() {
        return mRouters.size() + mPeers.values().stream().mapToInt(Peer::routers).sum();
    }

    /** Returns how many requests are known to be under way. */
    public int requests() {
        int[] sum = {0};
        mServers.forEach((ref, n) -> sum[0] += n);
        return sum[0];
    }

    /**
     * Returns what a router is told.
     *
     * @param backends every backend server that is known
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

    /** Returns a digest with the present numbers of the backend servers that it names. */
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

    private static <T> List<T> largest(List<T> all, ToDoubleFunction<T> measure, int limit) {
        if (all.size() <= limit) {
            return all;
        }
        return all.stream()
                .sorted(Comparator.comparingDouble(measure).reversed())
                .limit(limit)
                .toList();
    }

    /** A backend server that holds more than the mean of its service. */
    private record Busy(BackendLoad load, double mean) {
        /** Services differ in how much their backend servers hold. */
        double excess() {
            return load.requests() / (mean + 1);
        }
    }
}
