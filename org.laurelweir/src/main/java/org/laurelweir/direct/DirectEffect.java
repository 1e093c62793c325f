package org.laurelweir.direct;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;

/** What the shell has to do for requests that are routed without sidecars. */
public sealed interface DirectEffect {
    /**
     * Call a backend server.
     *
     * @param call names the call in events and effects
     * @param backend the backend server; another one at the address must not run the request
     * @param address where it listens
     * @param timeLeft how long the backend server may work
     * @param resumeAfter the id of the last event that the caller has, or empty to begin anew
     * @param fetchFrom address of another backend server from which this one should fetch cached
     *     parts of the prompt, or empty for none
     */
    record BeginCall(
            long call,
            BackendRef backend,
            String address,
            RoutedRequest request,
            Duration timeLeft,
            String resumeAfter,
            String fetchFrom)
            implements DirectEffect {}

    /** End a call by closing its connection, which makes the backend server stop its work. */
    record CancelCall(long call) implements DirectEffect {}

    /** Answer the caller with a whole answer of a backend server. */
    record AnswerWhole(long caller, int status, List<Header> headers, byte[] body)
            implements DirectEffect {}

    /** Begin a streamed answer. */
    record AnswerHead(long caller, int status, List<Header> headers) implements DirectEffect {}

    /** Send the caller the next piece of a streamed answer. */
    record AnswerData(long caller, byte[] bytes) implements DirectEffect {}

    /** The streamed answer is whole. */
    record AnswerEnd(long caller) implements DirectEffect {}

    /**
     * Answer with an error; after the head was sent, the shell cuts the connection instead.
     *
     * @param retryAfter when to come back, or zero for no advice
     */
    record AnswerError(long caller, ResultCode code, String message, Duration retryAfter)
            implements DirectEffect {}

    /** Log a decision and keep it for {@code explain}. */
    record LogDecision(Decision decision) implements DirectEffect {}
}
