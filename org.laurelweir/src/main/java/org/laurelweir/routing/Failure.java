package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.lib.ResultCode;

/**
 * Why an attempt or a request has no whole answer.
 *
 * @param code what the caller is told unless another attempt succeeds
 * @param message for the caller and the log
 * @param retryAfter when to come back, or zero where nothing says so
 */
record Failure(ResultCode code, String message, Duration retryAfter) {
    Failure(ResultCode code, String message) {
        this(code, message, Duration.ZERO);
    }
}
