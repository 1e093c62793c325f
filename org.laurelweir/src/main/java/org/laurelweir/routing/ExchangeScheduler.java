package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.MembershipCursor;

/** Schedules the exchanges with control: one at a time, at an interval. */
final class ExchangeScheduler {
    /**
     * Interval until control answers, at first and after a failure. Before the first answer the
     * router can't serve requests, and a longer interval would only prolong that.
     */
    private static final Duration UNANSWERED_INTERVAL = Duration.ofMillis(200);

    /** Minimum time between two exchanges, also when crash records wait to be sent. */
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
     * Starts an exchange if it is due and the previous one has ended. Only one is in flight: of two
     * answers the older could arrive last and move the cursor back. Unsent crash records don't wait
     * for the interval to end.
     */
    void onTick(
            Step s,
            MembershipCursor cursor,
            CrashSharing crashes,
            LoadEstimator loads,
            FleetDemand demand) {
        Instant due = mLastAnswered && crashes.hasUnacknowledgedRecords() ? mNextUrgentAt : mNextAt;
        if (mInFlight || s.now().isBefore(due)) {
            return;
        }
        mInFlight = true;
        mNextAt = s.now().plus(mLastAnswered ? mInterval : UNANSWERED_INTERVAL);
        mNextUrgentAt = s.now().plus(MIN_INTERVAL);
        s.emit(
                new RouterEffect.SendExchange(
                        cursor,
                        crashes.report(s.now()),
                        loads.report(s.now()),
                        demand.report(s.now())));
    }

    /** Handles the end of the exchange in flight, which was answered or failed. */
    void onEnded(boolean answered) {
        mInFlight = false;
        mLastAnswered = answered;
    }
}
