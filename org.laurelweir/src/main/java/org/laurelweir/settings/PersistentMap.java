package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * An immutable map with text keys. A change copies two short arrays and one bucket, so that
 * successive versions of a large map share almost all data. It is meant for up to about 100,000
 * entries; with more, the buckets become long and lookups slow.
 */
final class PersistentMap<V> {
    private static final int BITS = 5;
    private static final int FANOUT = 1 << BITS;
    private static final PersistentMap<?> EMPTY = new PersistentMap<>(new Object[FANOUT], 0);

    /** FANOUT arrays of FANOUT buckets each; an empty array or bucket is null. */
    private final Object[] mArrays;

    private final int mSize;

    private record Entry<V>(String key, V value) {}

    private PersistentMap(Object[] arrays, int size) {
        mArrays = arrays;
        mSize = size;
    }

    @SuppressWarnings("unchecked")
    static <V> PersistentMap<V> empty() {
        return (PersistentMap<V>) EMPTY;
    }

    int size() {
        return mSize;
    }

    /** Returns the value of a key, or null if the map has no such key. */
    V get(String key) {
        for (Entry<V> e : bucket(key)) {
            if (e.key.equals(key)) {
                return e.value;
            }
        }
        return null;
    }

    /**
     * Returns a copy with one changed entry.
     *
     * @param key the key
     * @param value the new value, or null to remove the key
     */
    PersistentMap<V> with(String key, V value) {
        List<Entry<V>> old = bucket(key);
        List<Entry<V>> bucket = new ArrayList<>(old.size() + 1);
        for (Entry<V> e : old) {
            if (!e.key.equals(key)) {
                bucket.add(e);
            }
        }
        if (value != null) {
            bucket.add(new Entry<>(key, value));
        }
        return withBucket(spread(key), bucket, mSize + bucket.size() - old.size());
    }

    private PersistentMap<V> withBucket(int hash, List<Entry<V>> bucket, int size) {
        Object[] arrays = mArrays.clone();
        Object[] inner = (Object[]) arrays[outer(hash)];
        inner = inner == null ? new Object[FANOUT] : inner.clone();
        inner[inner(hash)] = bucket.isEmpty() ? null : List.copyOf(bucket);
        arrays[outer(hash)] = inner;
        return new PersistentMap<>(arrays, size);
    }

    /** Calls the consumer for each entry, in an order that depends only on the entries. */
    void forEach(BiConsumer<String, V> consumer) {
        for (Object array : mArrays) {
            if (array != null) {
                for (Object bucket : (Object[]) array) {
                    this.<V>entries(bucket).forEach(e -> consumer.accept(e.key, e.value));
                }
            }
        }
    }

    private List<Entry<V>> bucket(String key) {
        int hash = spread(key);
        Object[] inner = (Object[]) mArrays[outer(hash)];
        return inner == null ? List.of() : entries(inner[inner(hash)]);
    }

    @SuppressWarnings("unchecked")
    private <W> List<Entry<W>> entries(Object bucket) {
        return bucket == null ? List.of() : (List<Entry<W>>) bucket;
    }

    private static int spread(String key) {
        int h = key.hashCode() * 0x9E3779B9;
        return h ^ (h >>> 16);
    }

    private static int outer(int hash) {
        return hash & (FANOUT - 1);
    }

    private static int inner(int hash) {
        return (hash >>> BITS) & (FANOUT - 1);
    }
}
