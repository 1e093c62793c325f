package org.laurelweir.standin.http;

import org.laurelweir.errors.LaurelweirException;

/** Answers HTTP calls. Always invoked on the server's event loop thread. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers one call, at once or later.
     *
     * @throws LaurelweirException if the server should answer with the code's HTTP status and the
     *     message
     */
    void handle(HttpExchange exchange);
}
