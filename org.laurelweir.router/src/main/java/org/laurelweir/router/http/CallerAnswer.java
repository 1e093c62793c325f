package org.laurelweir.router.http;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.ResultCode;

/** Sends the answer to one caller. Thread-safe; calls take effect in their order. */
public interface CallerAnswer {
    /**
     * Tells that headers and body of the request are not held any more, so that its memory is free.
     */
    void bodyDropped();

    /** Sends the head of an answer whose body follows in pieces. */
    void head(int status, List<Header> headers);

    /** Sends a piece of the body. */
    void data(byte[] bytes);

    /** Completes the answer. */
    void end();

    /**
     * Sends an error. If the head of the answer was already sent, closes the connection instead, so
     * that the caller can't take a truncated answer for a complete one.
     *
     * @param retryAfter value of the Retry-After header, or zero for none
     */
    void error(ResultCode code, String message, Duration retryAfter);

    /**
     * Sends a backend server's complete answer.
     *
     * @param headers the backend server's headers; hop-by-hop headers are not forwarded
     */
    void whole(int status, List<Header> headers, byte[] body);

    /** Sends a complete answer with a body of the given content type. */
    void whole(int status, String contentType, byte[] body);
}
