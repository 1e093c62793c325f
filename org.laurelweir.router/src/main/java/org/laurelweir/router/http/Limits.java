package org.laurelweir.router.http;

import io.netty.handler.timeout.WriteTimeoutHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Limits for callers. Each request uses those in force when it begins, also on a connection that
 * was opened before.
 *
 * @param bodyBytes maximum size of a request's body
 * @param headerBytes maximum total size of a request's headers
 * @param connections maximum number of callers' connections
 * @param requestTime maximum time for a caller to send a request, or to accept a piece of its
 *     answer
 * @param idleTime maximum time that a connection may stay without a request
 */
public record Limits(
        long bodyBytes, int headerBytes, int connections, Duration requestTime, Duration idleTime) {
    /** Returns a handler that closes a connection whose caller does not accept its answer. */
    WriteTimeoutHandler newWriteTimeout() {
        return new WriteTimeoutHandler(requestTime.toMillis(), TimeUnit.MILLISECONDS);
    }
}
