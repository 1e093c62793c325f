package org.laurelweir.router.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A timeout for the next step of one caller. Used on the event loop only. */
final class RequestTimer {
    private final EventLoop mLoop;
    private final Runnable mOnExpired;
    private ScheduledFuture<?> mExpiry;

    RequestTimer(EventLoop loop, Runnable onExpired) {
        mLoop = loop;
        mOnExpired = onExpired;
    }

    void start(Duration limit) {
        stop();
        mExpiry = mLoop.schedule(mOnExpired, limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    void stop() {
        if (mExpiry != null) {
            mExpiry.cancel(false);
            mExpiry = null;
        }
    }
}
