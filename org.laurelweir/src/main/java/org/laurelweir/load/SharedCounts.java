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
    private final Map<String, Map<K, Told>> mPeers = new HashMap<>();
    private final Map<K, Integer> mOwn = new HashMap<>();
    private final Map<K, Integer> mAll = new HashMap<>();

    /** Of which peers lack the present number. */
    private final Set<K> mUntold = new HashSet<>();

    /** What a peer told, and when. */
    private record Told(int count, Instant at) {}

    /** Takes all numbers of a source that reports here. */
    void put(String source, Map<K, Integer> counts) {
        Map<K, Integer> before = mSources.getOrDefault(source, Map.of());
        before.forEach((key, n) -> addOwn(key, counts.getOrDefault(key, 0) - n));
        counts.forEach((key, n) -> addOwn(key, before.containsKey(key) ? 0 : n));
        mSources.put(source, new HashMap<>(counts));
    }

    /** Takes the numbers of a source that have changed. */
    void change(String source, Map<K, Integer> counts) {
        Map<K, Integer> known = mSources.computeIfAbsent(source, s -> new HashMap<>());
        counts.forEach(
                (key, n) -> {
                    Integer before = n == 0 ? known.remove(key) : known.put(key, n);
                    addOwn(key, n - (before == null ? 0 : before));
                });
    }

    /** Drops all that a source told. */
    void forgetSource(String source) {
        put(source, Map.of());
        mSources.remove(source);
    }

    private void addOwn(K key, int change) {
        if (change != 0) {
            add(mOwn, key, change);
            add(mAll, key, change);
            mUntold.add(key);
        }
    }

    /** Takes a peer's sum. */
    void putOfPeer(Instant now, String peer, K key, int count) {
        Map<K, Told> told = mPeers.computeIfAbsent(peer, p -> new HashMap<>());
        Told before = count == 0 ? told.remove(key) : told.put(key, new Told(count, now));
        add(mAll, key, count - (before == null ? 0 : before.count()));
    }

    /** Drops all that a peer told. */
    void forgetPeer(String peer) {
        Map<K, Told> told = mPeers.remove(peer);
        if (told != null) {
            told.forEach((key, t) -> add(mAll, key, -t.count()));
        }
    }

    /** Drops peers' sums that were not told again for a time. */
    void forget(Instant now, Duration after) {
        mPeers.values().forEach(told -> told.entrySet().removeIf(e -> isDropped(e, now, after)));
        mPeers.values().removeIf(Map::isEmpty);
    }

    private boolean isDropped(Map.Entry<K, Told> e, Instant now, Duration after) {
        Told told = e.getValue();
        if (now.isBefore(told.at().plus(after))) {
            return false;
        }
        add(mAll, e.getKey(), -told.count());
        return true;
    }

    private static <K> void add(Map<K, Integer> sums, K key, int change) {
        if (change != 0) {
            sums.merge(key, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        }
    }

    /** Has peers told all sums again. */
    void tellAll() {
        mUntold.addAll(mOwn.keySet());
    }

    boolean isAllTold() {
        return mUntold.isEmpty();
    }

    /** Gives, once, the sums over the sources here that peers lack. */
    void takeUntold(BiConsumer<K, Integer> taker) {
        mUntold.forEach(key -> taker.accept(key, mOwn.getOrDefault(key, 0)));
        mUntold.clear();
    }

    /** Returns the sum over all sources. */
    int get(K key) {
        return mAll.getOrDefault(key, 0);
    }

    /** Returns of how many there is any. */
    int size() {
        return mAll.size();
    }

    void forEach(BiConsumer<K, Integer> taker) {
        mAll.forEach(taker);
    }
}
