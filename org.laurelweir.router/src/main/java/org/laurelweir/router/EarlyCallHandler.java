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

/** Keeps the calls of a router that has just started until it can serve, for a short while. */
final class EarlyCallHandler implements CallHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * How often the first settings are looked for while calls wait; short against any objective.
     */
    private static final long CHECK_MILLIS = 10;

    private static final int LOG_MILLIS = 200;

    private final CallHandler mServing;
    private final BooleanSupplier mCanServe;
    private final Function<HttpCall, Duration> mCallersTime;
    private final ScheduledExecutorService mTimer;
    private final InstantSource mClock;
    private final EarlyCalls<Early> mCalls = new EarlyCalls<>();
    private volatile boolean mStarted;

    private record Early(long caller, HttpCall call, CallerAnswer answer) {}

    /**
     * Creates the handler.
     *
     * @param serving takes the calls that can be served, and turns away those that waited in vain
     * @param canServe whether the first settings are in force
     * @param callersTime how long a call's caller waits for an answer
     * @param timer lets time pass
     */
    EarlyCallHandler(
            CallHandler serving,
            BooleanSupplier canServe,
            Function<HttpCall, Duration> callersTime,
            ScheduledExecutorService timer,
            InstantSource clock) {
        mServing = serving;
        mCanServe = canServe;
        mCallersTime = callersTime;
        mTimer = timer;
        mClock = clock;
    }

    @Override
    public void onCall(long caller, HttpCall call, CallerAnswer answer) {
        if (mStarted || !keep(new Early(caller, call, answer))) {
            mServing.onCall(caller, call, answer);
        }
    }

    private synchronized boolean keep(Early early) {
        if (mCanServe.getAsBoolean()) {
            // From here on calls go past the lock, unless one that waits could still be forgotten.
            mStarted = mCalls.isEmpty();
            return false;
        }
        boolean first = mCalls.isEmpty();
        Duration time = mCallersTime.apply(early.call());
        boolean kept = mCalls.keep(mClock.instant(), early.caller(), time, early);
        if (kept) {
            // Not a line each: this is a moment in which nothing may hold up the start.
            sLogger.atInfo().atMostEvery(LOG_MILLIS, TimeUnit.MILLISECONDS).log(
                    "caller %d waits for the first settings", early.caller());
        }
        if (kept && first) {
            mTimer.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return kept;
    }

    private void check() {
        for (Early e : due()) {
            mServing.onCall(e.caller(), e.call(), e.answer());
        }
    }

    private synchronized List<Early> due() {
        if (mCanServe.getAsBoolean()) {
            mStarted = true;
            return mCalls.takeAll();
        }
        List<Early> overdue = mCalls.takeExpired(mClock.instant());
        if (!mCalls.isEmpty()) {
            mTimer.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return overdue;
    }

    @Override
    public void onGone(long caller) {
        if (mStarted || !remove(caller)) {
            mServing.onGone(caller);
        }
    }

    private synchronized boolean remove(long caller) {
        return mCalls.remove(caller);
    }

    @Override
    public void onTaken(long caller, long offset) {
        mServing.onTaken(caller, offset);
    }
}
