package org.laurelweir.direct;

import java.time.Duration;
import java.util.SplittableRandom;

/** Chooses when a refused caller should come back. */
final class RetryDelays {
    /** About the time in which servers work off what they hold. */
    private static final long MIN_OVERLOAD_MILLIS = 150;

    /** Spreads callers that were refused at the same moment, so that they do not return as one. */
    private static final int OVERLOAD_JITTER_MILLIS = 350;

    /** The longest wait of a caller for whom there is a server, spread as above. */
    private static final int MAX_MISDIRECTED_MILLIS = 20;

    /** A caller comes back only while it has time left to be served. */
    private static final int TIME_LEFT_DIVISOR = 4;

    /** Coming back sooner is of no use to the caller of a request that ends backend servers. */
    private static final Duration QUARANTINE_DELAY = Duration.ofMinutes(1);

    private final SplittableRandom mRandom;

    RetryDelays(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns when a caller comes back whose request met another server than the one it was meant
     * for. Nobody is busy: the router knows better now, and a caller that waits as for a busy
     * server misses the time in which its answer is of use.
     */
    Duration afterMisdirection() {
        return Duration.ofMillis(1 + mRandom.nextInt(MAX_MISDIRECTED_MILLIS));
    }

    /** Returns when a caller comes back whose request is kept away from backend servers. */
    Duration afterQuarantine() {
        return QUARANTINE_DELAY;
    }

    /** Returns when a caller comes back for whom no server has room. */
    Duration afterOverload(Duration timeLeft) {
        long wanted = MIN_OVERLOAD_MILLIS + mRandom.nextInt(OVERLOAD_JITTER_MILLIS);
        long most = Math.max(1, timeLeft.toMillis() / TIME_LEFT_DIVISOR);
        return Duration.ofMillis(Math.min(wanted, most));
    }
}
