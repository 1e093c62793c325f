package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * How much time this process has seen pass. After a pause of the process everyone else would seem
 * to have been silent, and all sidecars would be announced as gone at once. Here a pause counts as
 * one short step, and what waits in the sockets is taken before the next.
 */
final class PauseTolerantClock {
    private static final Duration LONGEST_STEP = Duration.ofMillis(500);

    private Instant mLast;
    private Duration mSeen = Duration.ZERO;

    void pass(Instant now) {
        if (mLast != null && now.isAfter(mLast)) {
            Duration step = Duration.between(mLast, now);
            mSeen = mSeen.plus(step.compareTo(LONGEST_STEP) < 0 ? step : LONGEST_STEP);
        }
        mLast = now;
    }

    Duration seen() {
        return mSeen;
    }
}
