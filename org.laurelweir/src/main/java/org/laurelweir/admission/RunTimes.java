package org.laurelweir.admission;

import java.time.Duration;

/**
 * Estimates how long attempts take on the backend server, from exponentially weighted means of
 * those that ended. Before the first one has ended the estimate is 0, so no attempt is refused
 * because of it.
 */
final class RunTimes {
    private static final double NEWEST_WEIGHT = 0.1;

    /**
     * The share of the estimated run time below which a deadline counts as unreachable. Estimates
     * can be too high, so an attempt is refused only if it has at most half of the estimated time.
     */
    private static final double MIN_TIME_SHARE = 0.5;

    private double mSecondsPerUnit;
    private double mSecondsPerAttempt;

    /** Records the work and the run time of an attempt that has ended. */
    void add(double work, Duration runTime) {
        double seconds = runTime.toNanos() / 1e9;
        mSecondsPerUnit = updatedMean(mSecondsPerUnit, seconds / work);
        mSecondsPerAttempt = updatedMean(mSecondsPerAttempt, seconds);
    }

    /**
     * Returns whether an attempt can't end before its deadline.
     *
     * @param work its expected work, in token units
     * @param wait how long it waits before it starts
     * @param left the time until the deadline
     */
    boolean isDeadlineUnreachable(double work, Duration wait, Duration left) {
        double needed = MIN_TIME_SHARE * work * mSecondsPerUnit;
        return left.minus(wait).toNanos() / 1e9 <= needed;
    }

    /**
     * Returns the expected time until the given number of attempts have ended.
     *
     * @param ended how many have to end
     * @param running how many run at the same time
     */
    Duration timeUntilEnded(int ended, int running) {
        double seconds = mSecondsPerAttempt * ended / Math.max(1, running);
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private static double updatedMean(double mean, double newest) {
        return mean == 0 ? newest : mean + NEWEST_WEIGHT * (newest - mean);
    }
}
