package org.laurelweir.router.http;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.ResultCode;

/** The answer to one caller. Any thread may use it; calls take effect in their order. */
public interface CallerAnswer {
    /** Begins the answer; its body follows in pieces. */
    void head(int status, List<Header> headers);

    /** Sends a piece of the body. */
    void data(byte[] bytes);

    /** Ends the answer: it is whole. */
    void end();

    /**
     * Answers with an error. After the head was sent the connection is cut instead, so that the
     * caller never takes a shortened answer for a whole one.
     *
     * @param retryAfter when to come back, or zero for no advice
     */
    void error(ResultCode code, String message, Duration retryAfter);

    /**
     * Answers with a backend server's whole answer at once.
     *
     * @param headers as the backend server sent them
     */
    void whole(int status, List<Header> headers, byte[] body);

    /** Answers with a whole body at once. */
    void whole(int status, String contentType, byte[] body);
}
