package org.laurelweir.direct;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts what backend servers said of themselves since the start of the router. Written by the
 * thread of the reducer, read by that of the metrics.
 */
public final class NoticeCounts {
    private final AtomicLong mBackoffs = new AtomicLong();
    private final AtomicLong mLeaving = new AtomicLong();
    private volatile int mInBackoff;

    /** Counts an answer in which a server asked for backoff. */
    void onBackoff() {
        mBackoffs.incrementAndGet();
    }

    /** Counts a server that said for the first time that it is about to stop. */
    void onLeaving() {
        mLeaving.incrementAndGet();
    }

    /** Sets the number of servers in backoff now. */
    void setInBackoff(int servers) {
        mInBackoff = servers;
    }

    /** Returns the number of answers in which a server asked for backoff. */
    public long backoffs() {
        return mBackoffs.get();
    }

    /** Returns the number of servers that said that they are about to stop. */
    public long leaving() {
        return mLeaving.get();
    }

    /** Returns the number of servers in backoff now. */
    public long inBackoff() {
        return mInBackoff;
    }
}
