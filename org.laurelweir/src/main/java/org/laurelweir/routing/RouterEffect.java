package org.laurelweir.routing;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.CrashReport;

/** Everything that a router's reducer wants done. */
public sealed interface RouterEffect {
    /** Open a stream to a sidecar and begin an attempt on it. */
    record BeginAttempt(long stream, String address, AttemptRequest request)
            implements RouterEffect {}

    /**
     * Open a stream to a sidecar and follow an attempt that may run already.
     *
     * @param newConnection whether the present connection is suspect, so that a new one is needed
     */
    record ResumeAttempt(
            long stream,
            String address,
            AttemptId attempt,
            BackendRef target,
            long offset,
            boolean newConnection)
            implements RouterEffect {}

    /** Tell the sidecar that output below the offset may be dropped. */
    record Acknowledge(long stream, long offset) implements RouterEffect {}

    /** Tell the sidecar that the answer is no longer wanted, and end the stream. */
    record CancelAttempt(long stream) implements RouterEffect {}

    /** Drop a stream without a word: the connection under it is suspect. */
    record DropStream(long stream) implements RouterEffect {}

    /**
     * Ask over a new connection that an attempt never starts.
     *
     * @param caller for whom it is asked; several may ask about one attempt of another router
     */
    record Revoke(long caller, String address, AttemptId attempt, BackendRef target)
            implements RouterEffect {}

    /** Ask the control leader for the claim on an idempotency key. */
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

    /** The answer to the caller is whole. */
    record AnswerEnd(long caller) implements RouterEffect {}

    /**
     * Answer with an error; after the head was sent, the shell cuts the connection instead, so that
     * a shortened answer is never taken for a whole one.
     *
     * @param retryAfter when to come back, or zero for no advice
     */
    record AnswerError(long caller, ResultCode code, String message, Duration retryAfter)
            implements RouterEffect {}

    /** Do something for a request that is routed without sidecars. */
    record Direct(DirectEffect effect) implements RouterEffect {}

    /** Exchange with a control instance. */
    record SendExchange(MembershipCursor cursor, CrashReport crashes, LoadReport loads)
            implements RouterEffect {}

    /** Log a decision and keep it for {@code explain}. */
    record LogDecision(Decision decision) implements RouterEffect {}

    /** Everything in flight has ended: the process may exit. */
    record Stopped() implements RouterEffect {}
}
