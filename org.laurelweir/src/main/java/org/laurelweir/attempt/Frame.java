package org.laurelweir.attempt;

import java.time.Duration;
import java.util.List;
import org.laurelweir.lib.ResultCode;

/** One message of a sidecar about one attempt; {@link AttemptFrame} says which. */
public sealed interface Frame {
    /** The attempt is queued or running; from here on it may run. */
    record Accepted(int queuePosition) implements Frame {}

    /** The backend server's answer has begun. */
    record Head(int status, List<Header> headers) implements Frame {}

    /** A piece of the answer's body; the first one has offset 0. */
    record Data(long offset, byte[] bytes) implements Frame {}

    /** Sent where nothing else is, so that silence means a lost connection. */
    record Progress(long offset) implements Frame {}

    /** The answer is whole: its body has the given length in bytes. */
    record End(long length, Usage usage) implements Frame {}

    /**
     * The attempt was not run and will not be.
     *
     * @param code one of the codes of the 2000s
     * @param message for the log
     * @param redirectTo the backend server to try next, or empty
     * @param retryAfter when to come back, where nothing else takes the request
     */
    record Refused(ResultCode code, String message, String redirectTo, Duration retryAfter)
            implements Frame {}

    /** The attempt was started, or may have been, and has no whole answer. */
    record Failed(ResultCode code, String message) implements Frame {}

    /** What a model engine reports about one answer, in tokens. */
    record Usage(int promptTokens, int cachedTokens, int completionTokens) {
        /** For answers that report no usage. */
        public static final Usage NONE = new Usage(0, 0, 0);
    }
}
