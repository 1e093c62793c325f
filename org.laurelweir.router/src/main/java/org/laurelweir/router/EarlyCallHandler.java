package org.laurelweir.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.laurelweir.direct.EarlyCalls;
import org.laurelweir.router.http.CallHandler;
import org.laurelweir.router.http.CallerAnswer;
import org.laurelweir.router.http.HttpCall;

/**
 * Queues the calls that arrive before the router has its first settings. Calls go to the delegate
 * once the settings are in force, or when their wait expires.
 */
final class EarlyCallHandler implements CallHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Interval of the check for the first settings while calls wait. It is short compared with any
     * latency objective.
     */
    private static final long CHECK_INTERVAL_MILLIS = 10;

    private static final int LOG_INTERVAL_MILLIS = 200;

    private final CallHandler mDelegate;
    private final BooleanSupplier mCanServe;
    private final Function<HttpCall, Duration> mCallerTimeout;
    private final ScheduledExecutorService mTimer;
    private final InstantSource mClock;
    private final EarlyCalls<EarlyCall> mCalls = new EarlyCalls<>();
    private volatile boolean mPassThrough;

    private record EarlyCall(long caller, HttpCall call, CallerAnswer answer) {}

    /**
     * Creates the handler.
     *
     * @param delegate serves the calls, and refuses those whose wait expired
     * @param canServe returns whether the first settings are in force
     * @param callerTimeout returns how long a call's caller waits for an answer
     * @param timer runs the check for the first settings
     * @param clock measures how long calls have waited
     */
    EarlyCallHandler(
            CallHandler delegate,
            BooleanSupplier canServe,
            Function<HttpCall, Duration> callerTimeout,
            ScheduledExecutorService timer,
            InstantSource clock) {
        mDelegate = delegate;
        mCanServe = canServe;
        mCallerTimeout = callerTimeout;
        mTimer = timer;
        mClock = clock;
    }

    @Override
    public void onCall(long caller, HttpCall call, CallerAnswer answer) {
        if (mPassThrough || !enqueue(new EarlyCall(caller, call, answer))) {
            mDelegate.onCall(caller, call, answer);
        }
    }

    private synchronized boolean enqueue(EarlyCall early) {
        if (mCanServe.getAsBoolean()) {
            // Later calls bypass the lock once the queue is empty. Until then onGone may have to
            // remove a queued call.
            mPassThrough = mCalls.isEmpty();
            return false;
        }
        boolean first = mCalls.isEmpty();
        Duration timeout = mCallerTimeout.apply(early.call());
        boolean queued = mCalls.add(mClock.instant(), early.caller(), timeout, early);
        if (queued) {
            // Rate-limited, so that logging does not delay the start.
            sLogger.atInfo().atMostEvery(LOG_INTERVAL_MILLIS, TimeUnit.MILLISECONDS).log(
                    "caller %d waits for the first settings", early.caller());
        }
        if (queued && first) {
            mTimer.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return queued;
    }

    private void check() {
        for (EarlyCall e : takeDueCalls()) {
            mDelegate.onCall(e.caller(), e.call(), e.answer());
        }
    }

    private synchronized List<EarlyCall> takeDueCalls() {
        if (mCanServe.getAsBoolean()) {
            mPassThrough = true;
            return mCalls.takeAll();
        }
        List<EarlyCall> expired = mCalls.takeExpired(mClock.instant());
        if (!mCalls.isEmpty()) {
            mTimer.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        return expired;
    }

    @Override
    public void onGone(long caller) {
        if (mPassThrough || !remove(caller)) {
            mDelegate.onGone(caller);
        }
    }

    private synchronized boolean remove(long caller) {
        return mCalls.remove(caller);
    }

    @Override
    public void onConsumed(long caller, long offset) {
        mDelegate.onConsumed(caller, offset);
    }
}
