package org.laurelweir.runtime.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A timeout for the next step of one client. Used on the event loop only. */
public final class RequestTimer {
    private final EventLoop mLoop;
    private final Runnable mOnExpired;
    private ScheduledFuture<?> mExpiry;

    /**
     * Creates a timeout that does not run.
     *
     * @param loop runs what follows when the time is over
     */
    public RequestTimer(EventLoop loop, Runnable onExpired) {
        mLoop = loop;
        mOnExpired = onExpired;
    }

    /** Starts the timeout, or starts it anew. */
    public void start(Duration limit) {
        stop();
        mExpiry = mLoop.schedule(mOnExpired, limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops the timeout. */
    public void stop() {
        if (mExpiry != null) {
            mExpiry.cancel(false);
            mExpiry = null;
        }
    }
}
