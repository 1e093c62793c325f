package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.direct.AnswerLimits;
import org.laurelweir.direct.RetryLimits;

/**
 * The configuration of a router, fixed at its start.
 *
 * @param name the router's name
 * @param incarnation increases with every start of the router
 * @param seed seed of the random numbers for jitter
 * @param exchangeInterval interval between exchanges with control
 * @param maxChatLocations maximum number of chats whose last backend server the router remembers
 * @param retryLimits retry limits of all routers together for services without sidecars
 * @param answerLimits limits of the answers of such services that the router holds
 * @param hedgeShare maximum number of hedged requests, as a share of a service's requests
 */
public record RouterConfig(
        String name,
        long incarnation,
        long seed,
        Duration exchangeInterval,
        int maxChatLocations,
        RetryLimits retryLimits,
        AnswerLimits answerLimits,
        double hedgeShare) {
    /** Creates a configuration with the default limits of answers. */
    public RouterConfig(
            String name,
            long incarnation,
            long seed,
            Duration exchangeInterval,
            int maxChatLocations,
            RetryLimits retryLimits) {
        this(
                name,
                incarnation,
                seed,
                exchangeInterval,
                maxChatLocations,
                retryLimits,
                AnswerLimits.DEFAULT,
                0);
    }

    /** Creates a configuration with the default limits. */
    public RouterConfig(
            String name,
            long incarnation,
            long seed,
            Duration exchangeInterval,
            int maxChatLocations) {
        this(name, incarnation, seed, exchangeInterval, maxChatLocations, RetryLimits.DEFAULT);
    }
}
