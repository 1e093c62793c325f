package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Counts that are summed over many sources. Some sources report here; others report to peers, which
 * send their sums. Messages carry current counts and not differences, so that the next message
 * repairs a lost one.
 *
 * @param <K> the type of the keys of the counts
 */
final class SharedCounts<K> {
    private final Map<String, Map<K, Integer>> mSources = new HashMap<>();
    private final Map<String, Map<K, PeerCount>> mPeers = new HashMap<>();
    private final Map<K, Integer> mLocalSums = new HashMap<>();
    private final Map<K, Integer> mTotals = new HashMap<>();

    /** Keys whose current local sum has not been sent to the peers. */
    private final Set<K> mPending = new HashSet<>();

    /** A count that a peer sent, and the time of its arrival. */
    private record PeerCount(int count, Instant time) {}

    /** Replaces all counts of a source that reports here. */
    void replace(String source, Map<K, Integer> counts) {
        Map<K, Integer> before = mSources.getOrDefault(source, Map.of());
        before.forEach((key, n) -> addLocal(key, counts.getOrDefault(key, 0) - n));
        counts.forEach((key, n) -> addLocal(key, before.containsKey(key) ? 0 : n));
        mSources.put(source, new HashMap<>(counts));
    }

    /** Updates the counts of a source that have changed; 0 removes a count. */
    void update(String source, Map<K, Integer> counts) {
        Map<K, Integer> known = mSources.computeIfAbsent(source, s -> new HashMap<>());
        counts.forEach(
                (key, n) -> {
                    Integer before = n == 0 ? known.remove(key) : known.put(key, n);
                    addLocal(key, n - (before == null ? 0 : before));
                });
    }

    /** Removes all counts of a source. */
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

    /** Sets the sum of a peer for a key; 0 removes it. */
    void putPeerCount(Instant now, String peer, K key, int count) {
        Map<K, PeerCount> peerCounts = mPeers.computeIfAbsent(peer, p -> new HashMap<>());
        PeerCount before =
                count == 0
                        ? peerCounts.remove(key)
                        : peerCounts.put(key, new PeerCount(count, now));
        add(mTotals, key, count - (before == null ? 0 : before.count()));
    }

    /** Removes all sums of a peer. */
    void removePeer(String peer) {
        Map<K, PeerCount> peerCounts = mPeers.remove(peer);
        if (peerCounts != null) {
            peerCounts.forEach((key, c) -> add(mTotals, key, -c.count()));
        }
    }

    /** Removes the sums that peers have not repeated within a timeout. */
    void expire(Instant now, Duration timeout) {
        mPeers.values()
                .forEach(
                        peerCounts ->
                                peerCounts.entrySet().removeIf(e -> expireCount(e, now, timeout)));
        mPeers.values().removeIf(Map::isEmpty);
    }

    /** Subtracts a count from the totals if it has expired; returns whether it has. */
    private boolean expireCount(Map.Entry<K, PeerCount> e, Instant now, Duration timeout) {
        PeerCount peerCount = e.getValue();
        if (now.isBefore(peerCount.time().plus(timeout))) {
            return false;
        }
        add(mTotals, e.getKey(), -peerCount.count());
        return true;
    }

    private static <K> void add(Map<K, Integer> sums, K key, int change) {
        if (change != 0) {
            sums.merge(key, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        }
    }

    /** Marks all local sums as pending for the peers. */
    void markAllPending() {
        mPending.addAll(mLocalSums.keySet());
    }

    boolean isNothingPending() {
        return mPending.isEmpty();
    }

    /** Passes the pending local sums to a consumer; they are not pending afterwards. */
    void takePending(BiConsumer<K, Integer> consumer) {
        mPending.forEach(key -> consumer.accept(key, mLocalSums.getOrDefault(key, 0)));
        mPending.clear();
    }

    /** Returns the sum over all sources, including those of the peers. */
    int get(K key) {
        return mTotals.getOrDefault(key, 0);
    }

    /** Returns the number of keys with a sum other than 0. */
    int size() {
        return mTotals.size();
    }

    void forEach(BiConsumer<K, Integer> consumer) {
        mTotals.forEach(consumer);
    }
}
