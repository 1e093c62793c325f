package org.laurelweir.waiting;

import java.time.Duration;
import java.util.SplittableRandom;

/** Chooses the delay after which a refused caller should return. */
public final class ReturnTimes {
    /** Minimum delay, about the time in which servers finish some requests. */
    private static final long MIN_DELAY_MILLIS = 150;

    /** The delay is at most the time left divided by this, so that a return can still succeed. */
    private static final int TIME_LEFT_DIVISOR = 4;

    /** Maximum factor of the delay for an account that exceeds its share. */
    private static final double MAX_SHARE_FACTOR = 4;

    private final SplittableRandom mRandom;

    /** Creates the delays with a seed of their random parts. */
    public ReturnTimes(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns a delay in whole milliseconds, so that no time of it is lost in the answer. A random
     * part of up to as long again keeps callers that are refused together from returning together;
     * the limit by the time left leaves room for it.
     *
     * @param expected time until capacity is likely for the request
     * @param shareRatio the account's tokens in flight as a multiple of its fair share
     * @param timeLeft time until the request's deadline
     */
    public Duration delay(Duration expected, double shareRatio, Duration timeLeft) {
        double factor = Math.max(1, Math.min(MAX_SHARE_FACTOR, shareRatio));
        long likely = (long) (factor * Math.max(MIN_DELAY_MILLIS, expected.toMillis()));
        long base = Math.min(likely, longest(timeLeft).toMillis() / 2);
        return Duration.ofMillis(base + mRandom.nextLong(base + 1));
    }

    /** Returns the longest delay of a request, whenever capacity is likely. */
    public static Duration longest(Duration timeLeft) {
        return Duration.ofMillis(Math.max(2, timeLeft.toMillis() / TIME_LEFT_DIVISOR));
    }
}
