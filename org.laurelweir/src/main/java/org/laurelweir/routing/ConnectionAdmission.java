package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the requests on new connections that a router has in hand at a time. A router that reads
 * more requests than it can serve serves none of them in time; a caller whose connection is closed
 * unread tries another router at once.
 *
 * <p>The limit falls as soon as the router lags behind its work, in proportion to the lag, and
 * rises while it keeps up and the limit is used. Not thread-safe.
 */
public final class ConnectionAdmission {
    /** A lag of this length lowers the limit; a few times it leaves no time for an answer. */
    private static final Duration HIGH_LAG = Duration.ofMillis(120);

    /** Below this lag the limit may rise. */
    private static final Duration LOW_LAG = Duration.ofMillis(60);

    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(50);
    private static final double MIN_LIMIT = 8;
    private static final double MAX_LIMIT = 96;
    private static final double MAX_DECREASE = 0.25;
    private static final double DECREASE = 0.8;
    private static final double INCREASE = 1.25;

    private double mLimit = MAX_LIMIT;
    private Instant mNextChange = Instant.MIN;

    /**
     * Returns how many new connections may be accepted.
     *
     * @param offered number of new connections
     * @param inHand number of requests on new connections that the router has not decided on yet
     * @param lag how far the router lags behind its work now
     */
    public int room(Instant now, int offered, int inHand, Duration lag) {
        if (!now.isBefore(mNextChange)) {
            mNextChange = now.plus(CHANGE_INTERVAL);
            adapt(offered + inHand, lag);
        }
        return Math.max(0, (int) mLimit - inHand);
    }

    private void adapt(int wanted, Duration lag) {
        if (lag.compareTo(HIGH_LAG) > 0) {
            double excess = (double) HIGH_LAG.toNanos() / lag.toNanos();
            mLimit = Math.max(MIN_LIMIT, mLimit * Math.max(MAX_DECREASE, DECREASE * excess));
        } else if (lag.compareTo(LOW_LAG) < 0 && wanted >= mLimit) {
            mLimit = Math.min(MAX_LIMIT, mLimit * INCREASE);
        }
    }

    /** Returns the current limit, for the log. */
    public int limit() {
        return (int) mLimit;
    }
}
