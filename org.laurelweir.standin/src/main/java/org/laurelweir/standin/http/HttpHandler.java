package org.laurelweir.standin.http;

import org.laurelweir.errors.LaurelweirException;

/** Answers HTTP calls; always called on the server's event loop thread. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Takes one call and answers it now or later.
     *
     * @throws LaurelweirException to have the server answer with the code's status and the message
     */
    void handle(HttpExchange exchange);
}
