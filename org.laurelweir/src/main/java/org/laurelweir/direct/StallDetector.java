package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;

/**
 * Detects calls whose server has been silent for so long that another server is likely to answer
 * sooner. Only calls of repeatable requests count as stalled, because the silent server may have
 * run the request before its call is cancelled.
 */
final class StallDetector {
    /** A server may take this multiple of the route's objective for its first data. */
    private static final int OBJECTIVE_FACTOR = 3;

    /** A stream may pause for this multiple of the route's maximum pause. */
    private static final int PAUSE_FACTOR = 4;

    /** Minimum silence of a stalled call; shorter silences are normal. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(300);

    /** Returns whether the current call of a request is stalled. */
    boolean isStalled(ActiveRequest r, Instant now) {
        if (r.mCall == 0 || !r.isRepeatable()) {
            return false;
        }
        return now.isAfter(r.mLastActivity.plus(limit(r)));
    }

    private static Duration limit(ActiveRequest r) {
        Route route = r.route();
        Duration limit =
                r.mHeadReceived && route.streamed()
                        ? route.maxPause().multipliedBy(PAUSE_FACTOR)
                        : route.objective().multipliedBy(OBJECTIVE_FACTOR);
        return limit.compareTo(MIN_SILENCE) > 0 ? limit : MIN_SILENCE;
    }
}
