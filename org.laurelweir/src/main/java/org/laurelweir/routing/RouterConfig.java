package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.direct.RetryLimits;

/**
 * What a router's decisions depend on from its start on.
 *
 * @param name the router's name
 * @param incarnation rises with every start of the router
 * @param seed of the jitter
 * @param exchangeInterval how often control is asked
 * @param maxChatLocations how many chats the router remembers the last backend server of
 * @param retryLimits what all routers together may repeat at services without sidecars
 */
public record RouterConfig(
        String name,
        long incarnation,
        long seed,
        Duration exchangeInterval,
        int maxChatLocations,
        RetryLimits retryLimits) {
    /** Creates a configuration with the usual limits of retries. */
    public RouterConfig(
            String name,
            long incarnation,
            long seed,
            Duration exchangeInterval,
            int maxChatLocations) {
        this(name, incarnation, seed, exchangeInterval, maxChatLocations, RetryLimits.DEFAULT);
    }
}
