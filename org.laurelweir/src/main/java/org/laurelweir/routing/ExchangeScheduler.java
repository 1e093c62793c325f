package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.MembershipCursor;

/** Exchanges with control at an interval, one at a time. */
final class ExchangeScheduler {
    /** Until control answers, nothing can be served, so that waiting longer only adds to that. */
    private static final Duration UNANSWERED_INTERVAL = Duration.ofMillis(200);

    /** Between two exchanges, also where there is something to tell. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

    private final Duration mInterval;
    private Instant mNextAt = Instant.MIN;
    private Instant mNextUrgentAt = Instant.MIN;
    private boolean mInFlight;
    private boolean mLastAnswered;

    ExchangeScheduler(Duration interval) {
        mInterval = interval;
    }

    /**
     * Asks control if it is time and the last answer, or its failure, has arrived: of two answers
     * under way the older one could arrive last and take the cursor back. What other routers should
     * know soon does not wait for the interval to end.
     */
    void onTick(Step s, MembershipCursor cursor, CrashSharing crashes, LoadEstimator loads) {
        Instant due = mLastAnswered && crashes.hasUnacknowledgedRecords() ? mNextUrgentAt : mNextAt;
        if (mInFlight || s.now().isBefore(due)) {
            return;
        }
        mInFlight = true;
        mNextAt = s.now().plus(mLastAnswered ? mInterval : UNANSWERED_INTERVAL);
        mNextUrgentAt = s.now().plus(MIN_INTERVAL);
        s.emit(
                new RouterEffect.SendExchange(
                        cursor, crashes.report(s.now()), loads.report(s.now())));
    }

    /** The exchange under way was answered, or failed. */
    void onEnded(boolean answered) {
        mInFlight = false;
        mLastAnswered = answered;
    }
}
