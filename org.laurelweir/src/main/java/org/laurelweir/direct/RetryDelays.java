package org.laurelweir.direct;

import java.time.Duration;
import java.util.SplittableRandom;

/** Chooses the delay after which a rejected caller should retry. */
final class RetryDelays {
    /** Minimum delay after overload, about the time in which servers finish their requests. */
    private static final long MIN_OVERLOAD_MILLIS = 150;

    /** Random addition, so that callers rejected at the same time do not retry at the same time. */
    private static final int OVERLOAD_JITTER_MILLIS = 350;

    /** Maximum delay of a caller for which a server is available; chosen at random as well. */
    private static final int MAX_MISDIRECTED_MILLIS = 20;

    /** The delay is at most the time left divided by this, so that a retry can still succeed. */
    private static final int TIME_LEFT_DIVISOR = 4;

    /** An earlier retry of a quarantined request is useless: the quarantine lasts longer. */
    static final Duration QUARANTINE_DELAY = Duration.ofMinutes(1);

    private final SplittableRandom mRandom;

    RetryDelays(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns the delay after a request reached another server than intended. The servers are not
     * overloaded and the router now avoids that address. A delay as after overload would make the
     * answer too late to be useful.
     */
    Duration afterMisdirection() {
        return Duration.ofMillis(1 + mRandom.nextInt(MAX_MISDIRECTED_MILLIS));
    }

    /** Returns the delay after the rejection of a quarantined request. */
    Duration afterQuarantine() {
        return QUARANTINE_DELAY;
    }

    /**
     * Returns the delay after a request whose servers are all in backoff. It is not limited by the
     * time left: an earlier retry at this router would be rejected again.
     *
     * @param backoff time until the first of the servers ends its backoff
     */
    Duration afterBackoff(Duration backoff) {
        return backoff.plusMillis(1 + mRandom.nextInt(OVERLOAD_JITTER_MILLIS));
    }

    /** Returns the longest delay after a request whose servers are all in backoff. */
    static Duration longestAfterBackoff(Duration backoff) {
        return backoff.plusMillis(OVERLOAD_JITTER_MILLIS);
    }

    /** Returns the delay after a request for which no server has room. */
    Duration afterOverload(Duration timeLeft) {
        long delay = MIN_OVERLOAD_MILLIS + mRandom.nextInt(OVERLOAD_JITTER_MILLIS);
        return limited(delay, timeLeft);
    }

    /** Returns the longest delay after a request for which no server has room. */
    static Duration longestAfterOverload(Duration timeLeft) {
        return limited(MIN_OVERLOAD_MILLIS + OVERLOAD_JITTER_MILLIS - 1, timeLeft);
    }

    private static Duration limited(long delay, Duration timeLeft) {
        long max = Math.max(1, timeLeft.toMillis() / TIME_LEFT_DIVISOR);
        return Duration.ofMillis(Math.min(delay, max));
    }
}
