package org.laurelweir.routing;

import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;

/** Continues a request once control has answered its claim. */
final class ClaimAnswers {
    /**
     * Maximum claims per request. Each claim after the first replaces an attempt that is known not
     * to have run.
     */
    private static final int MAX_CLAIMS = 8;

    private final Memberships mMemberships;
    private final Attempts mAttempts;
    private final Recovery mRecovery;
    private final Outcomes mOutcomes;
    private final DecisionLogger mDecisionLogger;

    ClaimAnswers(
            Memberships memberships,
            Attempts attempts,
            Recovery recovery,
            Outcomes outcomes,
            DecisionLogger decisionLogger) {
        mMemberships = memberships;
        mAttempts = attempts;
        mRecovery = recovery;
        mOutcomes = outcomes;
        mDecisionLogger = decisionLogger;
    }

    void onAnswered(Step s, ActiveRequest r, RouterEvent.ClaimAnswered answer) {
        boolean isClaiming = r.mPhase == ActiveRequest.Phase.CLAIMING;
        if (!isClaiming || !answer.attempt().equals(r.mAttempt)) {
            return;
        }
        if (answer.code() == ResultCode.IDEMPOTENCY_KEY_REUSED) {
            String message = "the idempotency key belongs to another request";
            mOutcomes.fail(s, r, new Failure(answer.code(), message));
        } else if (answer.code() != ResultCode.OK) {
            failUnavailable(s, r, answer.code().name());
        } else if (answer.holder().equals(r.mAttempt)) {
            r.mClaimHolder = r.mAttempt;
            mAttempts.begin(s, r);
        } else {
            onHeldByOther(s, r, answer);
        }
    }

    /**
     * Fails the request without sending it. Without a claim, two routers could run the same key.
     */
    void failUnavailable(Step s, ActiveRequest r, String reason) {
        String message = "cannot claim the idempotency key: " + reason;
        mOutcomes.fail(s, r, new Failure(ResultCode.CLAIM_UNAVAILABLE, message));
    }

    private void onHeldByOther(Step s, ActiveRequest r, RouterEvent.ClaimAnswered answer) {
        if (r.mClaimCount >= MAX_CLAIMS) {
            r.mMayHaveRun = true;
            failUnavailable(s, r, "another attempt still holds it after the last allowed claim");
            return;
        }
        followHolder(s, r, answer);
    }

    /**
     * Obtains the outcome of the key's first attempt from its sidecar, which also has its output.
     */
    private void followHolder(Step s, ActiveRequest r, RouterEvent.ClaimAnswered answer) {
        Backend b = mMemberships.backend(answer.target().id());
        String address = b == null ? "" : b.address();
        r.mHolderCompleted = answer.settled() && answer.settledCode() == ResultCode.OK;
        r.followAttempt(answer.holder(), new Target(answer.target(), address));
        if (b == null) {
            ResultCode code =
                    r.mHolderCompleted ? ResultCode.ALREADY_RUN : ResultCode.OUTCOME_UNKNOWN;
            String message = "the backend server of the first attempt has left the fleet";
            mOutcomes.fail(s, r, new Failure(code, message));
            return;
        }
        mDecisionLogger.logRecovery(s, r, "claim_held");
        mRecovery.revoke(s, r);
    }
}
