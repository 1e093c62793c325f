package org.laurelweir.direct;

import java.time.Duration;

/**
 * Limits of the retries that all routers together may send to a service within any time window.
 *
 * @param share retries as a share of the service's requests
 * @param fleetReserve additional number of retries, for the whole fleet
 * @param window the length of the time window
 * @param minRouters the number of routers to assume if fewer, or none, are known
 * @param usableShare the share of the allowance that routers use; the rest is a margin for routers
 *     that are not known yet and for requests that move between routers
 */
public record RetryLimits(
        double share, double fleetReserve, Duration window, int minRouters, double usableShare) {
    /** The limits that apply unless the router's configuration file sets others. */
    public static final RetryLimits DEFAULT =
            new RetryLimits(0.1, 32, Duration.ofSeconds(10), 3, 0.7);
}
