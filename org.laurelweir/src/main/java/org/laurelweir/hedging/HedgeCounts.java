package org.laurelweir.hedging;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts hedged requests since the start of the router. Written by the thread of the reducer, read
 * by that of the metrics. Every copy that was sent is won, cancelled, failed, or still open.
 */
public final class HedgeCounts {
    private final AtomicLong mSent = new AtomicLong();
    private final AtomicLong mWon = new AtomicLong();
    private final AtomicLong mCancelled = new AtomicLong();
    private final AtomicLong mFailed = new AtomicLong();
    private final AtomicLongArray mWithheld = new AtomicLongArray(WithholdReason.values().length);

    /** Counts a copy that was sent. */
    public void onSent() {
        mSent.incrementAndGet();
    }

    /** Counts a copy that took the place of the first call. */
    public void onWon() {
        mWon.incrementAndGet();
    }

    /** Counts a copy that was cancelled, since the first call was answered or the request ended. */
    public void onCancelled() {
        mCancelled.incrementAndGet();
    }

    /** Counts a copy that failed or was refused. */
    public void onFailed() {
        mFailed.incrementAndGet();
    }

    /** Counts a slow request that was not hedged. */
    public void onWithheld(WithholdReason reason) {
        mWithheld.incrementAndGet(reason.ordinal());
    }

    /** Returns the number of copies that were sent. */
    public long sent() {
        return mSent.get();
    }

    /** Returns the number of copies that took the place of the first call. */
    public long won() {
        return mWon.get();
    }

    /** Returns the number of copies that were cancelled. */
    public long cancelled() {
        return mCancelled.get();
    }

    /** Returns the number of copies that failed or were refused. */
    public long failed() {
        return mFailed.get();
    }

    /** Returns the number of slow requests that were not hedged for a reason. */
    public long withheld(WithholdReason reason) {
        return mWithheld.get(reason.ordinal());
    }
}
