package org.laurelweir.waiting;

import java.time.Duration;

/**
 * Limits of the requests that wait at a router.
 *
 * @param requests maximum number of requests
 * @param bytes maximum number of bytes of their bodies
 */
public record WaitLimits(int requests, long bytes) {
    /** The limits of every router. */
    public static final WaitLimits DEFAULT = new WaitLimits(64, 4L << 20);

    /** A request waits at most its route's objective divided by this. */
    private static final int OBJECTIVE_DIVISOR = 4;

    /** A request waits at most its remaining time divided by this. */
    private static final int TIME_LEFT_DIVISOR = 10;

    /**
     * Returns the maximum wait of a request.
     *
     * @param objective the route's target time to the first data
     * @param timeLeft time until the deadline when the request arrives
     */
    public static Duration maxWait(Duration objective, Duration timeLeft) {
        Duration byObjective = objective.dividedBy(OBJECTIVE_DIVISOR);
        Duration byTimeLeft = timeLeft.dividedBy(TIME_LEFT_DIVISOR);
        return byObjective.compareTo(byTimeLeft) < 0 ? byObjective : byTimeLeft;
    }
}
