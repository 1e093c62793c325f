package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;

/** How many routers share the deployment's limits, and what this one's share is. */
final class RouterCount {
    /** Callers don't spread evenly; without this, routers refuse before the limit is reached. */
    static final double HEADROOM_FACTOR = 1.25;

    /**
     * A control instance that has just started has heard few routers yet. Believed at once, its low
     * count would give each router nearly the whole limit; within this time it hears the rest.
     */
    static final Duration DECREASE_DELAY = Duration.ofSeconds(30);

    private int mCount = 1;
    private Instant mNoDecreaseBefore = Instant.MIN;

    /** Takes a higher count at once, a lower one once no higher was told for the hold time. */
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

    /** Returns this router's share of a limit; the whole limit where it is the only router. */
    double share(double limit) {
        return mCount == 1 ? limit : limit * HEADROOM_FACTOR / mCount;
    }
}
