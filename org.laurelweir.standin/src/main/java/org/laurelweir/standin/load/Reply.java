package org.laurelweir.standin.load;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.standin.ErrorBody;
import org.laurelweir.standin.Json;

/**
 * The outcome of one attempt at a request.
 *
 * @param status the HTTP status; 0 if there is no answer
 * @param lines the body
 * @param startNanos when the attempt was sent, by {@link System#nanoTime}
 * @param endNanos when the answer was complete, by the same counter
 * @param failure why there is no answer, as a short code; null if there is one
 * @param retryAfterSeconds the value of Retry-After if the request was refused with one
 */
record Reply(
        int status,
        AnswerLines lines,
        long startNanos,
        long endNanos,
        String failure,
        OptionalLong retryAfterSeconds) {
    private static final int MIN_FAILED_STATUS = 300;

    static Reply failed(AnswerLines lines, long startNanos, String failure) {
        return new Reply(0, lines, startNanos, System.nanoTime(), failure, OptionalLong.empty());
    }

    boolean isOk() {
        return failure == null && status < MIN_FAILED_STATUS;
    }

    /**
     * Returns the code of a failure: that of the error body if there is one, otherwise one from the
     * HTTP status.
     */
    String errorCode() {
        if (failure != null) {
            return failure;
        }
        try {
            byte[] body = lines.body().getBytes(StandardCharsets.UTF_8);
            ErrorBody e = Json.read(body, ErrorBody.class);
            if (e.error() != null && e.error().code() != null) {
                return e.error().code();
            }
        } catch (LaurelweirException e) {
            return "http_" + status;
        }
        return "http_" + status;
    }
}
