package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.lib.ResultCode;

/** Ends requests: sends exactly one final answer to each caller and settles the claim. */
final class Outcomes {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final Requests mRequests;
    private final Claims mClaims;
    private final AccountLimits mLimits;
    private final DecisionLogger mDecisionLogger;

    Outcomes(
            Requests requests, Claims claims, AccountLimits limits, DecisionLogger decisionLogger) {
        mRequests = requests;
        mClaims = claims;
        mLimits = limits;
        mDecisionLogger = decisionLogger;
    }

    /** Ends a request whose answer was forwarded completely. */
    void complete(Step s, ActiveRequest r) {
        if (!r.mDetached) {
            s.emit(new RouterEffect.AnswerEnd(r.mCaller));
        }
        close(s, r, ResultCode.OK);
    }

    /** Sends an error for a request that was not admitted. */
    void reject(Step s, ActiveRequest r, Failure failure) {
        sendError(s, r, failure);
    }

    /**
     * Fails the request with an error. If part of the answer was sent, the answer is cut off
     * instead.
     */
    void fail(Step s, ActiveRequest r, Failure failure) {
        Failure corrected = correctCode(r, failure);
        sendError(s, r, corrected);
        close(s, r, corrected.code());
    }

    /**
     * Sends an error and lets the attempt continue. A resend of the request asks for its outcome.
     */
    void failAndDetach(Step s, ActiveRequest r, Failure failure) {
        sendError(s, r, correctCode(r, failure));
        r.mDetached = true;
    }

    /** Ends a request without an answer, because its caller is gone. */
    void abandon(Step s, ActiveRequest r, ResultCode code) {
        close(s, r, code);
    }

    /**
     * Replaces a code that says "not run" (2000s) if another attempt ran or may have run. Such a
     * code describes the last attempt only, and the caller would resend a request that has already
     * run.
     */
    private static Failure correctCode(ActiveRequest r, Failure failure) {
        if (!failure.code().isNotRun() || !(r.mMayHaveRun || r.mHeadSent)) {
            return failure;
        }
        ResultCode code = r.mHeadSent ? ResultCode.ANSWER_CUT : ResultCode.OUTCOME_UNKNOWN;
        return new Failure(code, failure.message(), failure.retryAfter());
    }

    private void sendError(Step s, ActiveRequest r, Failure failure) {
        if (r.mDetached) {
            return;
        }
        mDecisionLogger.logGivenUp(s, r, failure);
        s.emit(
                new RouterEffect.AnswerError(
                        r.mCaller, failure.code(), failure.message(), retryAfter(r, failure)));
    }

    /**
     * Returns the Retry-After to send. Clients may resend automatically when they receive it, so it
     * is sent only if a resend can't run the request a second time.
     */
    private static Duration retryAfter(ActiveRequest r, Failure failure) {
        boolean canResend = failure.code().isNotRun() || r.mRequest.idempotent() || r.needsClaim();
        if (!canResend || failure.code().number() < ResultCode.OVERLOADED.number()) {
            return Duration.ZERO;
        }
        return failure.retryAfter().isZero() ? DEFAULT_RETRY_AFTER : failure.retryAfter();
    }

    private void close(Step s, ActiveRequest r, ResultCode code) {
        mClaims.settle(s, r, code);
        mLimits.release(r.mRequest.account());
        mRequests.remove(r);
    }
}
