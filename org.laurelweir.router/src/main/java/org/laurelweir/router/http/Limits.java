package org.laurelweir.router.http;

import java.time.Duration;

/**
 * Limits for callers. Each connection uses the settings at the time it is opened.
 *
 * @param bodyBytes maximum size of a request's body
 * @param headerBytes maximum total size of a request's headers
 * @param connections maximum number of callers' connections
 * @param requestTime maximum time for a caller to send a request, or to accept a piece of its
 *     answer
 * @param idleTime maximum time that a connection may stay without a request
 */
public record Limits(
        long bodyBytes,
        int headerBytes,
        int connections,
        Duration requestTime,
        Duration idleTime) {}
