package org.laurelweir.router.http;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Measures how far the router lags behind the requests that it has read, and behind its
 * connections. Costs nothing while no connection or request arrives.
 */
public final class RequestLag {
    /** When each request was read that the decision loop has not taken yet, the oldest first. */
    private final Queue<Long> mUndecided = new ConcurrentLinkedQueue<>();

    private volatile long mProbeStart;
    private volatile boolean mIsProbing;
    private volatile long mLastProbeNanos;

    /** Called when a request has been read, before it is passed to the decision loop. */
    public void onRead() {
        mUndecided.add(System.nanoTime());
    }

    /** Returns the number of requests that the decision loop has not taken yet. */
    int undecidedCount() {
        return mUndecided.size();
    }

    /** Called when the decision loop has taken a request. */
    public void onDecided() {
        mUndecided.poll();
    }

    /** Measures how long the event loop takes to serve all connections that are ready now. */
    void probe(EventLoop loop) {
        if (mIsProbing) {
            return;
        }
        mIsProbing = true;
        mProbeStart = System.nanoTime();
        loop.execute(
                () -> {
                    mLastProbeNanos = System.nanoTime() - mProbeStart;
                    mIsProbing = false;
                });
    }

    /** Returns the lag now: of the oldest request that waits, or of the event loop. */
    Duration current() {
        long now = System.nanoTime();
        Long oldest = mUndecided.peek();
        long waiting = oldest == null ? 0 : now - oldest;
        long loop = mIsProbing ? Math.max(mLastProbeNanos, now - mProbeStart) : mLastProbeNanos;
        return Duration.ofNanos(Math.max(waiting, loop));
    }
}
