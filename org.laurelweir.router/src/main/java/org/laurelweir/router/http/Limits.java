package org.laurelweir.router.http;

import java.time.Duration;

/**
 * What callers may ask of this router, taken from the settings when a connection is opened.
 *
 * @param bodyBytes largest body of a request
 * @param headerBytes largest sum of a request's headers
 * @param connections most connections of callers
 * @param requestTime longest time that a caller may take to send a request, or to take a piece of
 *     its answer
 * @param idleTime how long a connection may stay without a request
 */
public record Limits(
        long bodyBytes,
        int headerBytes,
        int connections,
        Duration requestTime,
        Duration idleTime) {}
