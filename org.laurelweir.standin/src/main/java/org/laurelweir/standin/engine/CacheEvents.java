package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Publishes the changes of the prefix cache with a delay, with gaps at a set interval, and the
 * newest 65536 only. A reader detects a gap by a jump in the sequence numbers.
 */
final class CacheEvents {
    private static final int MAX_EVENTS = 65_536;
    private static final int MAX_EVENTS_PER_READ = 4096;

    /**
     * One published change.
     *
     * @param seq the sequence number, which also counts changes that are never published
     * @param at the time of the change, in milliseconds since 1970
     * @param kind stored or evicted
     * @param block the block's hash in hexadecimal
     */
    record CacheEvent(long seq, long at, String kind, String block) {}

    private final Duration mLag;
    private final int mGapEvery;
    private final Deque<CacheEvent> mEvents = new ArrayDeque<>();
    private long mSeq;

    /**
     * Creates an empty feed.
     *
     * @param lag the delay before a change is published
     * @param gapEvery a change whose sequence number is a multiple of this is dropped; 0 for none
     */
    CacheEvents(Duration lag, int gapEvery) {
        mLag = lag;
        mGapEvery = gapEvery;
    }

    /** Adds a change. */
    void add(Instant now, PrefixCache.Change change) {
        mSeq++;
        if (mGapEvery > 0 && mSeq % mGapEvery == 0) {
            return;
        }
        String kind = change.stored() ? "stored" : "evicted";
        String block = Long.toHexString(change.block());
        mEvents.add(new CacheEvent(mSeq, now.toEpochMilli(), kind, block));
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    /**
     * Returns the published changes after a sequence number, oldest first, up to {@link
     * #MAX_EVENTS_PER_READ}.
     */
    List<CacheEvent> read(Instant now, long after) {
        long newest = now.toEpochMilli() - mLag.toMillis();
        return mEvents.stream()
                .filter(e -> e.seq() > after && e.at() <= newest)
                .limit(MAX_EVENTS_PER_READ)
                .toList();
    }
}
