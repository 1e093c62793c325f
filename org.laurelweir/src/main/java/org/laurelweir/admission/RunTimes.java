package org.laurelweir.admission;

import java.time.Duration;

/**
 * How long attempts take on the backend server, as exponentially weighted means of those that
 * ended. Before the first one nothing is expected, so nothing is refused for it.
 */
final class RunTimes {
    private static final double NEWEST_WEIGHT = 0.1;

    /** Estimates err; a request is called hopeless only where it has half of what it needs. */
    private static final double MIN_TIME_SHARE = 0.5;

    private double mSecondsPerUnit;
    private double mSecondsPerAttempt;

    /** Notes that an attempt of some work took some time. */
    void add(double work, Duration took) {
        double seconds = took.toNanos() / 1e9;
        mSecondsPerUnit = updatedMean(mSecondsPerUnit, seconds / work);
        mSecondsPerAttempt = updatedMean(mSecondsPerAttempt, seconds);
    }

    /** Returns whether work can't be done in the time left after a wait. */
    boolean isDeadlineUnreachable(double work, Duration wait, Duration left) {
        double needed = MIN_TIME_SHARE * work * mSecondsPerUnit;
        return left.minus(wait).toNanos() / 1e9 <= needed;
    }

    /** Returns how long it takes until some of the running attempts have ended. */
    Duration timeUntilEnded(int ended, int running) {
        double seconds = mSecondsPerAttempt * ended / Math.max(1, running);
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private static double updatedMean(double before, double newest) {
        return before == 0 ? newest : before + NEWEST_WEIGHT * (newest - before);
    }
}
