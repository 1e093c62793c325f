package org.laurelweir.direct;

import java.time.Duration;
import java.util.SplittableRandom;

/** Chooses when a refused caller should come back. */
final class Refusals {
    /** About the time in which servers work off what they hold. */
    private static final long LEAST_MILLIS = 150;

    /** Spreads callers that were refused at the same moment, so that they do not return as one. */
    private static final int SPREAD_MILLIS = 350;

    /** A caller comes back only while it has time left to be served. */
    private static final int PART_OF_TIME_LEFT = 4;

    private final SplittableRandom mRandom;

    Refusals(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    Duration comeBack(Duration timeLeft) {
        long wanted = LEAST_MILLIS + mRandom.nextInt(SPREAD_MILLIS);
        long most = Math.max(1, timeLeft.toMillis() / PART_OF_TIME_LEFT);
        return Duration.ofMillis(Math.min(wanted, most));
    }
}
