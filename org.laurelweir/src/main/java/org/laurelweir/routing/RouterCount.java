package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;

/** Tracks how many routers share the deployment's limits, and computes this router's share. */
final class RouterCount {
    /**
     * Callers don't spread evenly over the routers. Without this factor, a router would reject
     * requests before the deployment's limit is reached.
     */
    static final double HEADROOM_FACTOR = 1.25;

    /**
     * How long a lower count is ignored. A control instance that has just started has received
     * reports of few routers. If its low count took effect at once, each router would take nearly
     * the whole limit. Within this time the control instance receives the reports of the other
     * routers.
     */
    static final Duration DECREASE_DELAY = Duration.ofSeconds(30);

    private int mCount = 1;
    private Instant mNoDecreaseBefore = Instant.MIN;

    /**
     * Applies an equal or higher count at once, and a lower one only when no such count arrived for
     * {@link #DECREASE_DELAY}.
     */
    void update(Instant now, int count) {
        if (count <= 0 || (count < mCount && now.isBefore(mNoDecreaseBefore))) {
            return;
        }
        mCount = count;
        mNoDecreaseBefore = now.plus(DECREASE_DELAY);
    }

    int count() {
        return mCount;
    }

    /** Returns this router's share of a limit; the whole limit if it is the only router. */
    double share(double limit) {
        return mCount == 1 ? limit : limit * HEADROOM_FACTOR / mCount;
    }
}
