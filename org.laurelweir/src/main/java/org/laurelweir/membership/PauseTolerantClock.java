package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures elapsed time without pauses of this process. After a pause, all sidecars and peers would
 * seem to have been silent, and all sidecars would be announced as departed at once. This clock
 * counts a pause as one short step, so that the reports that wait in the sockets are read before
 * the next step.
 */
final class PauseTolerantClock {
    private static final Duration MAX_STEP = Duration.ofMillis(500);

    private Instant mLastTime;
    private Duration mElapsed = Duration.ZERO;

    void advance(Instant now) {
        if (mLastTime != null && now.isAfter(mLastTime)) {
            Duration step = Duration.between(mLastTime, now);
            mElapsed = mElapsed.plus(step.compareTo(MAX_STEP) < 0 ? step : MAX_STEP);
        }
        mLastTime = now;
    }

    Duration elapsed() {
        return mElapsed;
    }
}
