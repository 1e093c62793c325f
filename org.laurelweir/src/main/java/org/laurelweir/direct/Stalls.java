package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells when a server has been silent for so long that another one is likely to answer sooner. Only
 * for what may be repeated: the silent server is told to stop, and may have run the request.
 */
final class Stalls {
    /** Multiples of the objective that a server gets for its first bytes. */
    private static final int OBJECTIVES = 3;

    /** Multiples of the longest prompt pause that a stream may make. */
    private static final int PAUSES = 4;

    /** A silent server is given this long at least; shorter silences are ordinary. */
    private static final Duration LEAST = Duration.ofMillis(300);

    boolean isStalled(ActiveCall r, Instant now) {
        if (r.mCall == 0 || !r.route().isRepeatable()) {
            return false;
        }
        return now.isAfter(r.mHeard.plus(limit(r)));
    }

    private static Duration limit(ActiveCall r) {
        Route route = r.route();
        Duration limit =
                r.mAnswered && route.streamed()
                        ? route.maxPause().multipliedBy(PAUSES)
                        : route.objective().multipliedBy(OBJECTIVES);
        return limit.compareTo(LEAST) > 0 ? limit : LEAST;
    }
}
