package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.MembershipCursor;

/** Exchanges with control at an interval, one at a time. */
final class Exchanges {
    /** Until control answers, nothing can be served, so that waiting longer only adds to that. */
    private static final Duration FIRST_INTERVAL = Duration.ofMillis(200);

    /** Between two exchanges, also where there is something to tell. */
    private static final Duration LEAST_INTERVAL = Duration.ofMillis(100);

    private final Duration mInterval;
    private Instant mNext = Instant.MIN;
    private Instant mNextUrgent = Instant.MIN;
    private boolean mUnderWay;
    private boolean mAnswered;

    Exchanges(Duration interval) {
        mInterval = interval;
    }

    /**
     * Asks control if it is time and the last answer, or its failure, has arrived: of two answers
     * under way the older one could arrive last and take the cursor back. What other routers should
     * know soon does not wait for the interval to end.
     */
    void onTick(Step s, MembershipCursor cursor, CrashSharing crashes, LoadEstimator loads) {
        Instant due = mAnswered && crashes.isUrgent() ? mNextUrgent : mNext;
        if (mUnderWay || s.now().isBefore(due)) {
            return;
        }
        mUnderWay = true;
        mNext = s.now().plus(mAnswered ? mInterval : FIRST_INTERVAL);
        mNextUrgent = s.now().plus(LEAST_INTERVAL);
        s.emit(
                new RouterEffect.SendExchange(
                        cursor, crashes.report(s.now()), loads.report(s.now())));
    }

    /** The exchange under way was answered, or failed. */
    void onEnded(boolean answered) {
        mUnderWay = false;
        mAnswered = answered;
    }
}
