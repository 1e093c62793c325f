package org.laurelweir.waiting;

/**
 * The numbers of waiting requests, for metrics. Written by the thread that decides; any thread may
 * read them.
 */
public final class WaitingCounts {
    private volatile long mRequests;
    private volatile long mBytes;
    private volatile long mEvicted;

    /** Takes over the current numbers of a queue. */
    public void update(WaitingQueue<?> queue) {
        mRequests = queue.size();
        mBytes = queue.bytes();
        mEvicted = queue.evictedCount();
    }

    /** Returns the number of waiting requests. */
    public long requests() {
        return mRequests;
    }

    /** Returns the number of bytes of the bodies of the waiting requests. */
    public long bytes() {
        return mBytes;
    }

    /** Returns the number of requests that were evicted from the queue so far. */
    public long evicted() {
        return mEvicted;
    }
}
