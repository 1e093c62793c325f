package org.laurelweir.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The blocks whose KV state the engine holds, up to a capacity. The least recently used block is
 * evicted first. Within a prefix, later blocks count as less recently used, so a prefix loses its
 * tail before its head and no unreachable block stays.
 */
final class PrefixCache {
    /** A block that was stored or, if not {@code stored}, evicted. */
    record Change(boolean stored, long block) {}

    private final int mCapacity;
    private final Consumer<Change> mOnChange;
    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param capacity the maximum number of blocks
     * @param changes receives each block that is stored or evicted
     */
    PrefixCache(int capacity, Consumer<Change> changes) {
        mCapacity = capacity;
        mOnChange = changes;
    }

    int size() {
        return mBlocks.size();
    }

    int capacity() {
        return mCapacity;
    }

    /**
     * Returns how many blocks from the first on are cached without a gap, and marks them as used.
     */
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

    /** Stores the first {@code count} blocks, or as many of them as the cache can hold. */
    void store(long[] hashes, int count) {
        int n = Math.min(count, mCapacity);
        for (int i = n - 1; i >= 0; i--) {
            if (mBlocks.get(hashes[i]) == null) {
                mBlocks.put(hashes[i], Boolean.TRUE);
                mOnChange.accept(new Change(true, hashes[i]));
            }
        }
        while (mBlocks.size() > mCapacity) {
            Long eldest = mBlocks.keySet().iterator().next();
            mBlocks.remove(eldest);
            mOnChange.accept(new Change(false, eldest));
        }
    }

    /** Evicts all blocks, as a change of the loaded models does. */
    void clear() {
        mBlocks.keySet().forEach(b -> mOnChange.accept(new Change(false, b)));
        mBlocks.clear();
    }
}
