package org.laurelweir.router.http;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Bounds the time that one caller takes to send a request. Only on the event loop. */
final class RequestTimer {
    private final EventLoop mLoop;
    private final Duration mLimit;
    private final Runnable mOnExpired;
    private ScheduledFuture<?> mExpiry;

    RequestTimer(EventLoop loop, Duration limit, Runnable onExpired) {
        mLoop = loop;
        mLimit = limit;
        mOnExpired = onExpired;
    }

    void start() {
        stop();
        mExpiry = mLoop.schedule(mOnExpired, mLimit.toMillis(), TimeUnit.MILLISECONDS);
    }

    void stop() {
        if (mExpiry != null) {
            mExpiry.cancel(false);
            mExpiry = null;
        }
    }
}
