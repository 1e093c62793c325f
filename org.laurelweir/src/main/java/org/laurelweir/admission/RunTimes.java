package org.laurelweir.admission;

import java.time.Duration;

/**
 * How long attempts take on the backend server, as exponentially weighted means of those that
 * ended. Before the first one nothing is expected, so nothing is refused for it.
 */
final class RunTimes {
    private static final double NEWEST_SHARE = 0.1;

    /** Estimates err; a request is called hopeless only where it has half of what it needs. */
    private static final double HOPELESS_SHARE = 0.5;

    private double mSecondsPerUnit;
    private double mSeconds;

    /** Notes that an attempt of some work took some time. */
    void add(double work, Duration took) {
        double seconds = took.toNanos() / 1e9;
        mSecondsPerUnit = mean(mSecondsPerUnit, seconds / work);
        mSeconds = mean(mSeconds, seconds);
    }

    /** Returns whether work can't be done in the time left after a wait. */
    boolean isHopeless(double work, Duration wait, Duration left) {
        double needed = HOPELESS_SHARE * work * mSecondsPerUnit;
        return left.minus(wait).toNanos() / 1e9 <= needed;
    }

    /** Returns how long it takes until some of the running attempts have ended. */
    Duration untilEnded(int ended, int running) {
        double seconds = mSeconds * ended / Math.max(1, running);
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private static double mean(double before, double newest) {
        return before == 0 ? newest : before + NEWEST_SHARE * (newest - before);
    }
}
