package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.lib.ResultCode;

/**
 * Why an attempt or a request has no complete answer.
 *
 * @param code the code that the caller receives unless another attempt succeeds
 * @param message for the caller and the log
 * @param retryAfter when the caller may retry, or zero if unknown
 */
record Failure(ResultCode code, String message, Duration retryAfter) {
    Failure(ResultCode code, String message) {
        this(code, message, Duration.ZERO);
    }
}
