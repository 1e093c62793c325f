package org.laurelweir.direct;

import java.time.Duration;

/**
 * How many arrivals beyond the first of each request the routers together may cause at a service
 * within any window.
 *
 * @param share repetitions as a share of the service's requests
 * @param fleetReserve repetitions beyond that, for the whole fleet
 * @param window the length of the window
 * @param minRouters routers to reckon with where fewer, or none, are heard of
 * @param usableShare the part of the allowance that is used; the rest covers routers that are not
 *     heard of yet and requests that shift between routers
 */
public record RetryLimits(
        double share, double fleetReserve, Duration window, int minRouters, double usableShare) {
    /** What holds where the router's file says nothing. */
    public static final RetryLimits DEFAULT =
            new RetryLimits(0.1, 32, Duration.ofSeconds(10), 3, 0.7);
}
