package org.laurelweir.routing;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.CrashReport;

/** The effects of a router's reducer, which the I/O code carries out. */
public sealed interface RouterEffect {
    /** Open a stream to a sidecar and begin an attempt on it. */
    record BeginAttempt(long stream, String address, AttemptRequest request)
            implements RouterEffect {}

    /**
     * Open a stream to a sidecar and resume an attempt that may already run.
     *
     * @param newConnection whether the current connection is suspect, so that a new one is needed
     */
    record ResumeAttempt(
            long stream,
            String address,
            AttemptId attempt,
            BackendRef target,
            long offset,
            boolean newConnection)
            implements RouterEffect {}

    /** Acknowledge output to the sidecar, which may drop the output below the offset. */
    record Acknowledge(long stream, long offset) implements RouterEffect {}

    /** Cancel an attempt whose answer is not needed, and end the stream. */
    record CancelAttempt(long stream) implements RouterEffect {}

    /** Drop a stream without a message to the sidecar, because its connection is suspect. */
    record DropStream(long stream) implements RouterEffect {}

    /**
     * Ask a sidecar over a new connection to prevent an attempt from starting and report its state.
     *
     * @param caller the caller on whose behalf the router asks; several may ask about one attempt
     *     of another router
     */
    record Revoke(long caller, String address, AttemptId attempt, BackendRef target)
            implements RouterEffect {}

    /** Request the claim on an idempotency key from the control leader. */
    record Claim(
            AttemptId attempt,
            String account,
            String key,
            String service,
            long fingerprint,
            BackendRef target,
            AttemptId replaces,
            Duration retention)
            implements RouterEffect {}

    /** Record how the attempt that holds a claim ended. */
    record SettleClaim(AttemptId attempt, String account, String key, ResultCode code)
            implements RouterEffect {}

    /** Begin the answer to the caller. */
    record AnswerHead(long caller, int status, List<Header> headers) implements RouterEffect {}

    /** Send a piece of the answer's body to the caller. */
    record AnswerData(long caller, byte[] bytes) implements RouterEffect {}

    /** End the answer to the caller, which is complete. */
    record AnswerEnd(long caller) implements RouterEffect {}

    /**
     * Answer with an error. If the head was already sent, the I/O code cuts the connection instead,
     * so that the caller does not take a shortened answer for a complete one.
     *
     * @param retryAfter when the caller may retry, or zero for no advice
     */
    record AnswerError(long caller, ResultCode code, String message, Duration retryAfter)
            implements RouterEffect {}

    /** Carry out an effect for a request that is routed without sidecars. */
    record Direct(DirectEffect effect) implements RouterEffect {}

    /**
     * Exchange with a control instance.
     *
     * @param contention the demand of this router's requests; {@link ContentionReport#NONE} if it
     *     never had any
     */
    record SendExchange(
            MembershipCursor cursor,
            CrashReport crashes,
            LoadReport loads,
            ContentionReport contention)
            implements RouterEffect {}

    /** Log a decision and keep it for {@code explain}. */
    record LogDecision(Decision decision) implements RouterEffect {}

    /** Report that nothing is in flight, so that the process may exit. */
    record Stopped() implements RouterEffect {}
}
