package org.laurelweir.routing;

import java.time.Duration;

/**
 * What a router's decisions depend on from its start on.
 *
 * @param name the router's name
 * @param incarnation rises with every start of the router
 * @param seed of the jitter
 * @param exchangeInterval how often control is asked
 * @param chatSeats how many chats the router remembers the last backend server of
 */
public record RouterConfig(
        String name, long incarnation, long seed, Duration exchangeInterval, int chatSeats) {}
