package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells when a server has been silent for so long that another one is likely to answer sooner. Only
 * for what may be repeated: the silent server is told to stop, and may have run the request.
 */
final class StallDetector {
    /** Multiples of the objective that a server gets for its first bytes. */
    private static final int OBJECTIVE_FACTOR = 3;

    /** Multiples of the longest prompt pause that a stream may make. */
    private static final int PAUSE_FACTOR = 4;

    /** A silent server is given this long at least; shorter silences are ordinary. */
    private static final Duration MIN_SILENCE = Duration.ofMillis(300);

    boolean isStalled(ActiveRequest r, Instant now) {
        if (r.mCall == 0 || !r.route().isRepeatable()) {
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
