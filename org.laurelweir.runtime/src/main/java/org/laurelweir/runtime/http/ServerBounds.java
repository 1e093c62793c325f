package org.laurelweir.runtime.http;

import java.time.Duration;

/**
 * What the connections of a server may take, each and together.
 *
 * @param headBytes maximum size of a request line, and of all headers of a request
 * @param bodyBytes maximum size of a request's body
 * @param requestTime maximum time for a client to send a request, or to accept its answer
 * @param idleTime maximum time that a connection may stay without a request
 * @param memory bounds the requests that are read or answered
 * @param partialRequests bounds the bytes of requests that are not begun
 * @param connections bounds the number of connections
 */
public record ServerBounds(
        int headBytes,
        int bodyBytes,
        Duration requestTime,
        Duration idleTime,
        RequestMemory memory,
        PartialRequests partialRequests,
        OpenConnections connections) {}
