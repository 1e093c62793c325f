package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.lib.ResultCode;

/** Ends requests: exactly one final answer to each caller, and the claim settled. */
final class Outcomes {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final Requests mRequests;
    private final Claims mClaims;
    private final AccountLimits mLimits;
    private final DecisionLogger mDecisionLogger;

    Outcomes(Requests requests, Claims claims, AccountLimits limits, DecisionLogger decisions) {
        mRequests = requests;
        mClaims = claims;
        mLimits = limits;
        mDecisionLogger = decisions;
    }

    /** The caller has the whole answer. */
    void complete(Step s, ActiveRequest r) {
        if (!r.mDetached) {
            s.emit(new RouterEffect.AnswerEnd(r.mCaller));
        }
        close(s, r, ResultCode.OK);
    }

    /** Answers a request that was not let in. */
    void reject(Step s, ActiveRequest r, Failure failure) {
        sendError(s, r, failure);
    }

    /** Gives the request up and answers at once; a begun answer is cut instead. */
    void fail(Step s, ActiveRequest r, Failure failure) {
        Failure told = correctCode(r, failure);
        sendError(s, r, told);
        close(s, r, told.code());
    }

    /** Answers now and lets the attempt go on, whose outcome a resend will ask for. */
    void failAndDetach(Step s, ActiveRequest r, Failure failure) {
        sendError(s, r, correctCode(r, failure));
        r.mDetached = true;
    }

    /** Ends a request that nobody waits for any more. */
    void abandon(Step s, ActiveRequest r, ResultCode code) {
        close(s, r, code);
    }

    /**
     * A code of the 2000s says that the request was not run. It tells of the last attempt only; an
     * earlier one that ran makes it a lie, after which the caller would send the request again.
     */
    private static Failure correctCode(ActiveRequest r, Failure f) {
        if (!f.code().isNotRun() || !(r.mMayHaveRun || r.mHeadSent)) {
            return f;
        }
        ResultCode code = r.mHeadSent ? ResultCode.ANSWER_CUT : ResultCode.OUTCOME_UNKNOWN;
        return new Failure(code, f.message(), f.retryAfter());
    }

    private void sendError(Step s, ActiveRequest r, Failure f) {
        if (r.mDetached) {
            return;
        }
        mDecisionLogger.logGivenUp(s, r, f);
        s.emit(new RouterEffect.AnswerError(r.mCaller, f.code(), f.message(), retryAfter(r, f)));
    }

    /**
     * A client that resends by itself does so where Retry-After stands, so it stands only where a
     * resend can't run the request a second time.
     */
    private static Duration retryAfter(ActiveRequest r, Failure f) {
        boolean harmless = f.code().isNotRun() || r.mRequest.idempotent() || r.needsClaim();
        if (!harmless || f.code().number() < ResultCode.OVERLOADED.number()) {
            return Duration.ZERO;
        }
        return f.retryAfter().isZero() ? DEFAULT_RETRY_AFTER : f.retryAfter();
    }

    private void close(Step s, ActiveRequest r, ResultCode code) {
        mClaims.settle(s, r, code);
        mLimits.release(r.mRequest.account());
        mRequests.remove(r);
    }
}
