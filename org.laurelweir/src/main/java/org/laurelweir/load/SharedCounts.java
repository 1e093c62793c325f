package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Numbers that add up over many sources: some report here, others to peers, which pass on their
 * sums. Each tells its present state and no changes of it, so that a lost message is made good by
 * the next one.
 *
 * @param <K> what is counted
 */
final class SharedCounts<K> {
    private final Map<String, Map<K, Integer>> mSources = new HashMap<>();
    private final Map<String, Map<K, PeerCount>> mPeers = new HashMap<>();
    private final Map<K, Integer> mLocalSums = new HashMap<>();
    private final Map<K, Integer> mTotals = new HashMap<>();

    /** Of which peers lack the present number. */
    private final Set<K> mPending = new HashSet<>();

    /** What a peer told, and when. */
    private record PeerCount(int count, Instant time) {}

    /** Takes all numbers of a source that reports here. */
    void replace(String source, Map<K, Integer> counts) {
        Map<K, Integer> before = mSources.getOrDefault(source, Map.of());
        before.forEach((key, n) -> addLocal(key, counts.getOrDefault(key, 0) - n));
        counts.forEach((key, n) -> addLocal(key, before.containsKey(key) ? 0 : n));
        mSources.put(source, new HashMap<>(counts));
    }

    /** Takes the numbers of a source that have changed. */
    void update(String source, Map<K, Integer> counts) {
        Map<K, Integer> known = mSources.computeIfAbsent(source, s -> new HashMap<>());
        counts.forEach(
                (key, n) -> {
                    Integer before = n == 0 ? known.remove(key) : known.put(key, n);
                    addLocal(key, n - (before == null ? 0 : before));
                });
    }

    /** Drops all that a source told. */
    void removeSource(String source) {
        replace(source, Map.of());
        mSources.remove(source);
    }

    private void addLocal(K key, int change) {
        if (change != 0) {
            add(mLocalSums, key, change);
            add(mTotals, key, change);
            mPending.add(key);
        }
    }

    /** Takes a peer's sum. */
    void putPeerCount(Instant now, String peer, K key, int count) {
        Map<K, PeerCount> told = mPeers.computeIfAbsent(peer, p -> new HashMap<>());
        PeerCount before = count == 0 ? told.remove(key) : told.put(key, new PeerCount(count, now));
        add(mTotals, key, count - (before == null ? 0 : before.count()));
    }

    /** Drops all that a peer told. */
    void removePeer(String peer) {
        Map<K, PeerCount> told = mPeers.remove(peer);
        if (told != null) {
            told.forEach((key, t) -> add(mTotals, key, -t.count()));
        }
    }

    /** Drops peers' sums that were not told again for a time. */
    void expire(Instant now, Duration after) {
        mPeers.values().forEach(told -> told.entrySet().removeIf(e -> expireCount(e, now, after)));
        mPeers.values().removeIf(Map::isEmpty);
    }

    private boolean expireCount(Map.Entry<K, PeerCount> e, Instant now, Duration after) {
        PeerCount told = e.getValue();
        if (now.isBefore(told.time().plus(after))) {
            return false;
        }
        add(mTotals, e.getKey(), -told.count());
        return true;
    }

    private static <K> void add(Map<K, Integer> sums, K key, int change) {
        if (change != 0) {
            sums.merge(key, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        }
    }

    /** Has peers told all sums again. */
    void markAllPending() {
        mPending.addAll(mLocalSums.keySet());
    }

    boolean isNothingPending() {
        return mPending.isEmpty();
    }

    /** Gives, once, the sums over the sources here that peers lack. */
    void takePending(BiConsumer<K, Integer> taker) {
        mPending.forEach(key -> taker.accept(key, mLocalSums.getOrDefault(key, 0)));
        mPending.clear();
    }

    /** Returns the sum over all sources. */
    int get(K key) {
        return mTotals.getOrDefault(key, 0);
    }

    /** Returns of how many there is any. */
    int size() {
        return mTotals.size();
    }

    void forEach(BiConsumer<K, Integer> taker) {
        mTotals.forEach(taker);
    }
}
