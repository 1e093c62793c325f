package org.laurelweir.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The blocks whose KV state the engine holds, up to a size. The least recently used goes first.
 * Within one prefix the later blocks count as less recently used, so a prefix loses its tail before
 * its head and no block stays behind that can't be reached.
 */
final class PrefixCache {
    /** A change of what is cached. */
    record Change(boolean stored, long block) {}

    private final int mCapacity;
    private final Consumer<Change> mChanges;
    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param capacity the most blocks it holds
     * @param changes receives each block that comes or goes
     */
    PrefixCache(int capacity, Consumer<Change> changes) {
        mCapacity = capacity;
        mChanges = changes;
    }

    int size() {
        return mBlocks.size();
    }

    int capacity() {
        return mCapacity;
    }

    /** Returns how many of the first blocks are cached, and marks these as used. */
    int match(long[] hashes, int limit) {
        int n = 0;
        while (n < limit && mBlocks.containsKey(hashes[n])) {
            n++;
        }
        for (int i = n - 1; i >= 0; i--) {
            mBlocks.get(hashes[i]);
        }
        return n;
    }

    /** Stores the first blocks, as many as the cache can hold. */
    void store(long[] hashes, int count) {
        int n = Math.min(count, mCapacity);
        for (int i = n - 1; i >= 0; i--) {
            if (mBlocks.get(hashes[i]) == null) {
                mBlocks.put(hashes[i], Boolean.TRUE);
                mChanges.accept(new Change(true, hashes[i]));
            }
        }
        while (mBlocks.size() > mCapacity) {
            Long eldest = mBlocks.keySet().iterator().next();
            mBlocks.remove(eldest);
            mChanges.accept(new Change(false, eldest));
        }
    }

    /** Drops everything, as a change of model does. */
    void clear() {
        mBlocks.keySet().forEach(b -> mChanges.accept(new Change(false, b)));
        mBlocks.clear();
    }
}
