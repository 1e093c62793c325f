package org.laurelweir.direct;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts what backend servers said of themselves since the start of the router. Written by the
 * thread of the reducer, read by that of the metrics.
 */
public final class NoticeCounts {
    private final AtomicLong mRests = new AtomicLong();
    private final AtomicLong mLeaving = new AtomicLong();
    private volatile int mResting;

    /** Counts an answer in which a server asked for rest. */
    void onRest() {
        mRests.incrementAndGet();
    }

    /** Counts a server that said for the first time that it is about to stop. */
    void onLeaving() {
        mLeaving.incrementAndGet();
    }

    /** Sets the number of servers that rest now. */
    void setResting(int servers) {
        mResting = servers;
    }

    /** Returns the number of answers in which a server asked for rest. */
    public long rests() {
        return mRests.get();
    }

    /** Returns the number of servers that said that they are about to stop. */
    public long leaving() {
        return mLeaving.get();
    }

    /** Returns the number of servers that rest now. */
    public long resting() {
        return mResting;
    }
}
