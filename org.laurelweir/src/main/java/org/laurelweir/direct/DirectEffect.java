package org.laurelweir.direct;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.resumption.StreamOrigin;

/** An action that {@link DirectRouting} requests from the process. */
public sealed interface DirectEffect {
    /**
     * Send a request to a backend server.
     *
     * @param call the number of the call in events and effects
     * @param backend the intended backend server; any other server at the address must not run the
     *     request
     * @param address the host and port that the backend server listens on
     * @param request the request to send
     * @param timeLeft time until the request's deadline
     * @param resumeAfter the id of the last event that was sent to the caller, or empty for an
     *     answer from the start
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

    /**
     * Cancel a call by closing its connection, which makes the backend server abort the request.
     */
    record CancelCall(long call) implements DirectEffect {}

    /** Stop reading a call's answer for a while, or read on. */
    record PauseCall(long call, boolean paused) implements DirectEffect {}

    /**
     * Open a connection to a backend server and close it, to find out whether the server listens.
     *
     * @param check the number of the check in the event with its result
     */
    record CheckBackend(long check, BackendRef backend, String address) implements DirectEffect {}

    /**
     * Record at control instances what began a stream, or make the record void by one that differs.
     *
     * @param record the number of the record in the event with its result
     * @param stream the stream's {@link org.laurelweir.resumption.StreamKey}
     * @param server the run of the backend server that was called
     * @param retention how long the record is kept
     * @param isVoid whether it makes earlier records void, and so has to reach all control
     *     instances
     */
    record RecordStream(
            long record,
            long stream,
            StreamOrigin origin,
            BackendRef server,
            Duration retention,
            boolean isVoid)
            implements DirectEffect {}

    /**
     * Ask all control instances what began a stream.
     *
     * @param lookup the number of the lookup in the event with its result
     * @param stream the stream's {@link org.laurelweir.resumption.StreamKey}
     * @param service the service that a new stream would go to
     * @param window how long ago the stream may have begun
     */
    record FindStream(long lookup, long stream, String service, Duration window)
            implements DirectEffect {}

    /** A request will not be sent again; its headers and body are not held any more. */
    record BodyDropped(long caller) implements DirectEffect {}

    /** Send the caller a complete answer of a backend server. */
    record AnswerComplete(long caller, int status, List<Header> headers, byte[] body)
            implements DirectEffect {}

    /** Send the caller the head of a streamed answer. */
    record AnswerHead(long caller, int status, List<Header> headers) implements DirectEffect {}

    /** Send the caller the next data of a streamed answer. */
    record AnswerData(long caller, byte[] bytes) implements DirectEffect {}

    /** End a streamed answer that is complete. */
    record AnswerEnd(long caller) implements DirectEffect {}

    /**
     * Answer the caller with an error. If the head of a stream has been sent already, the process
     * closes the connection instead.
     *
     * @param retryAfter the delay after which the caller should retry, or zero for no advice
     */
    record AnswerError(long caller, ResultCode code, String message, Duration retryAfter)
            implements DirectEffect {}

    /** Tell an operator what would happen to a request. */
    record Explain(long query, RequestExplanation explanation) implements DirectEffect {}

    /** Write a decision to the log and keep it for the {@code explain} command. */
    record LogDecision(Decision decision) implements DirectEffect {}
}
