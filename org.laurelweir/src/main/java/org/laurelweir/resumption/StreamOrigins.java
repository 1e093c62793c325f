package org.laurelweir.resumption;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams, each for a limited time. An origin never changes. If two records of a
 * stream differ, nobody can tell which one is right, and the origin counts as unknown.
 *
 * <p>The number of records is bounded; the oldest ones give way. Not thread-safe.
 */
public final class StreamOrigins {
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(5);

    private final int mMaxRecords;
    private final Map<Long, Entry> mEntries = new LinkedHashMap<>();
    private Instant mNextExpiry = Instant.MIN;

    /** An origin, or null if records differ, and the end of its retention. */
    private record Entry(StreamOrigin origin, Instant expiry) {}

    /**
     * Creates an empty table.
     *
     * @param maxRecords maximum number of records
     */
    public StreamOrigins(int maxRecords) {
        mMaxRecords = maxRecords;
    }

    /**
     * Records the origin of a stream.
     *
     * @param now the current time
     * @param stream the stream's {@link StreamKey}
     * @param origin what began the stream
     * @param retention how long the record is kept
     */
    public void put(Instant now, long stream, StreamOrigin origin, Duration retention) {
        expire(now);
        Instant expiry = now.plus(retention);
        Entry known = mEntries.remove(stream);
        boolean differs = known != null && !origin.equals(known.origin());
        mEntries.put(stream, new Entry(differs ? null : origin, expiry));
        if (mEntries.size() > mMaxRecords) {
            Iterator<Long> oldest = mEntries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the origin of a stream, or empty if it is not known for certain. */
    public Optional<StreamOrigin> find(Instant now, long stream) {
        Entry e = mEntries.get(stream);
        boolean isKnown = e != null && now.isBefore(e.expiry());
        return isKnown ? Optional.ofNullable(e.origin()) : Optional.empty();
    }

    /** Returns the number of records. */
    public int size() {
        return mEntries.size();
    }

    /** Removes the expired records, at most once in a few seconds. */
    public void expire(Instant now) {
        if (now.isBefore(mNextExpiry)) {
            return;
        }
        mNextExpiry = now.plus(EXPIRY_INTERVAL);
        mEntries.values().removeIf(e -> !now.isBefore(e.expiry()));
    }
}
