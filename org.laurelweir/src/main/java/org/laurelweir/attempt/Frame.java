package org.laurelweir.attempt;

import java.time.Duration;
import java.util.List;
import org.laurelweir.lib.ResultCode;

/** A message of a sidecar about one attempt. {@link AttemptFrame} holds the attempt's id. */
public sealed interface Frame {
    /**
     * The attempt is queued or running. After this frame it may run.
     *
     * @param queuePosition length of the waiting queue when the attempt was queued, otherwise 0
     */
    record Accepted(int queuePosition) implements Frame {}

    /** The status and the headers of the backend server's answer. */
    record Head(int status, List<Header> headers) implements Frame {}

    /** A piece of the answer's body. The first piece has offset 0. */
    record Data(long offset, byte[] bytes) implements Frame {}

    /**
     * Sent if no other frame was sent for a time, so that a router can take silence for a lost
     * connection.
     *
     * @param offset end offset of the output so far
     */
    record Progress(long offset) implements Frame {}

    /**
     * The answer is complete.
     *
     * @param length length of its body in bytes
     * @param usage token counts that the backend server reported
     */
    record End(long length, Usage usage) implements Frame {}

    /**
     * The attempt was not run and will not be.
     *
     * @param code a code from 2000 to 2999
     * @param message for the log
     * @param redirectTo the backend server to try next, or empty
     * @param retryAfter when to retry if no other backend server takes the request
     */
    record Refused(ResultCode code, String message, String redirectTo, Duration retryAfter)
            implements Frame {}

    /** The attempt was started or may have been, and its answer is not complete. */
    record Failed(ResultCode code, String message) implements Frame {}

    /** The token counts that a model engine reports for one answer. */
    record Usage(int promptTokens, int cachedTokens, int completionTokens) {
        /** The usage of an answer without token counts. */
        public static final Usage NONE = new Usage(0, 0, 0);
    }
}
