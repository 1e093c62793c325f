package org.laurelweir.sums;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Values that are summed over many sources. Some sources report here; others report to peers, which
 * send their sums. Messages carry current values and not differences, so that the next message
 * repairs a lost one.
 *
 * @param <K> the type of the keys of the values
 * @param <V> the type of the values
 */
public class SharedSums<K, V> {
    private final Arithmetic<V> mArithmetic;
    private final V mZero;
    private final Map<String, Map<K, V>> mSources = new HashMap<>();
    private final Map<String, Map<K, PeerSum<V>>> mPeers = new HashMap<>();
    private final Map<K, V> mLocalSums = new HashMap<>();
    private final Map<K, V> mTotals = new HashMap<>();

    /** Keys whose current local sum has not been sent to the peers. */
    private final Set<K> mPending = new HashSet<>();

    /** A sum that a peer sent, and the time of its arrival. */
    private record PeerSum<V>(V sum, Instant time) {}

    /** Creates empty sums. */
    public SharedSums(Arithmetic<V> arithmetic) {
        mArithmetic = arithmetic;
        mZero = arithmetic.zero();
    }

    /** Replaces all values of a source that reports here. */
    public void replace(String source, Map<K, V> values) {
        Map<K, V> before = mSources.getOrDefault(source, Map.of());
        before.forEach((key, v) -> addLocal(key, v, values.getOrDefault(key, mZero)));
        values.forEach((key, v) -> addLocal(key, mZero, before.containsKey(key) ? mZero : v));
        mSources.put(source, new HashMap<>(values));
    }

    /** Updates the values of a source that have changed; zero removes a value. */
    public void update(String source, Map<K, V> values) {
        Map<K, V> known = mSources.computeIfAbsent(source, s -> new HashMap<>());
        values.forEach(
                (key, v) -> {
                    V before = v.equals(mZero) ? known.remove(key) : known.put(key, v);
                    addLocal(key, before == null ? mZero : before, v);
                });
    }

    /** Removes all values of a source. */
    public void removeSource(String source) {
        replace(source, Map.of());
        mSources.remove(source);
    }

    private void addLocal(K key, V before, V after) {
        if (!before.equals(after)) {
            add(mLocalSums, key, before, after);
            add(mTotals, key, before, after);
            mPending.add(key);
        }
    }

    /** Sets the sum of a peer for a key; zero removes it. */
    public void putPeerCount(Instant now, String peer, K key, V sum) {
        Map<K, PeerSum<V>> peerSums = mPeers.computeIfAbsent(peer, p -> new HashMap<>());
        PeerSum<V> before =
                sum.equals(mZero)
                        ? peerSums.remove(key)
                        : peerSums.put(key, new PeerSum<>(sum, now));
        add(mTotals, key, before == null ? mZero : before.sum(), sum);
    }

    /** Removes all sums of a peer. */
    public void removePeer(String peer) {
        Map<K, PeerSum<V>> peerSums = mPeers.remove(peer);
        if (peerSums != null) {
            peerSums.forEach((key, s) -> add(mTotals, key, s.sum(), mZero));
        }
    }

    /** Removes the sums that peers have not repeated within a timeout. */
    public void expire(Instant now, Duration timeout) {
        mPeers.values()
                .forEach(peerSums -> peerSums.entrySet().removeIf(e -> expireSum(e, now, timeout)));
        mPeers.values().removeIf(Map::isEmpty);
    }

    /** Subtracts a sum from the totals if it has expired; returns whether it has. */
    private boolean expireSum(Map.Entry<K, PeerSum<V>> e, Instant now, Duration timeout) {
        PeerSum<V> peerSum = e.getValue();
        if (now.isBefore(peerSum.time().plus(timeout))) {
            return false;
        }
        add(mTotals, e.getKey(), peerSum.sum(), mZero);
        return true;
    }

    /** Replaces one value in the sum of a key by another. */
    private void add(Map<K, V> sums, K key, V before, V after) {
        if (before.equals(after)) {
            return;
        }
        V rest = mArithmetic.minus(sums.getOrDefault(key, mZero), before);
        V sum = mArithmetic.plus(rest, after);
        if (sum.equals(mZero)) {
            sums.remove(key);
        } else {
            sums.put(key, sum);
        }
    }

    /** Marks all local sums as pending for the peers. */
    public void markAllPending() {
        mPending.addAll(mLocalSums.keySet());
    }

    /** Returns whether the peers have been sent all current local sums. */
    public boolean isNothingPending() {
        return mPending.isEmpty();
    }

    /** Passes the pending local sums to a consumer; they are not pending afterwards. */
    public void takePending(BiConsumer<K, V> consumer) {
        mPending.forEach(key -> consumer.accept(key, mLocalSums.getOrDefault(key, mZero)));
        mPending.clear();
    }

    /** Returns the sum over all sources, including those of the peers. */
    public V get(K key) {
        return mTotals.getOrDefault(key, mZero);
    }

    /** Returns the number of keys with a sum other than zero. */
    public int size() {
        return mTotals.size();
    }

    /** Passes each key with a sum other than zero to a consumer. */
    public void forEach(BiConsumer<K, V> consumer) {
        mTotals.forEach(consumer);
    }
}
