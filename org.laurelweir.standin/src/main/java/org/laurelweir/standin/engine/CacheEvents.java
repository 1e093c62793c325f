package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The published changes of the prefix cache: late by a set time, with gaps at a set interval, and
 * only the newest ones. A reader tells a gap by the jump in the numbers.
 */
final class CacheEvents {
    private static final int MAX_EVENTS = 65_536;
    private static final int MAX_READ = 4096;

    /**
     * One published change.
     *
     * @param seq counts all changes, also those that are never published
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
     * @param lag how late a change is published
     * @param gapEvery each change whose number is a multiple of this is lost; 0 for none
     */
    CacheEvents(Duration lag, int gapEvery) {
        mLag = lag;
        mGapEvery = gapEvery;
    }

    /** Takes a change. */
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

    /** Returns the published changes after a number, oldest first, up to a limit. */
    List<CacheEvent> read(Instant now, long after) {
        long newest = now.toEpochMilli() - mLag.toMillis();
        return mEvents.stream()
                .filter(e -> e.seq() > after && e.at() <= newest)
                .limit(MAX_READ)
                .toList();
    }
}
