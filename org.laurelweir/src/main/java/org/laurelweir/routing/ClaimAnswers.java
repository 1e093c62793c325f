package org.laurelweir.routing;

import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;

/** Goes on with a request once control has answered its claim. */
final class ClaimAnswers {
    /** Claims of one request; each but the first replaces an attempt proved not to have run. */
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
            DecisionLogger decisions) {
        mMemberships = memberships;
        mAttempts = attempts;
        mRecovery = recovery;
        mOutcomes = outcomes;
        mDecisionLogger = decisions;
    }

    void onAnswered(Step s, ActiveRequest r, RouterEvent.ClaimAnswered answer) {
        boolean awaited = r.mPhase == ActiveRequest.Phase.CLAIMING;
        if (!awaited || !answer.attempt().equals(r.mAttempt)) {
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

    /** Nothing was sent and nothing will be: without a claim two routers could both run the key. */
    void failUnavailable(Step s, ActiveRequest r, String reason) {
        String message = "no claim on the idempotency key could be had: " + reason;
        mOutcomes.fail(s, r, new Failure(ResultCode.CLAIM_UNAVAILABLE, message));
    }

    private void onHeldByOther(Step s, ActiveRequest r, RouterEvent.ClaimAnswered answer) {
        if (r.mClaimCount >= MAX_CLAIMS) {
            r.mMayHaveRun = true;
            failUnavailable(s, r, "others hold it");
            return;
        }
        followHolder(s, r, answer);
    }

    /** The key's first attempt has the outcome: its sidecar tells, and hands over its output. */
    private void followHolder(Step s, ActiveRequest r, RouterEvent.ClaimAnswered answer) {
        Backend b = mMemberships.backend(answer.target().id());
        String address = b == null ? "" : b.address();
        r.mHolderCompleted = answer.settled() && answer.settledCode() == ResultCode.OK;
        r.followAttempt(answer.holder(), new Target(answer.target(), address));
        if (b == null) {
            ResultCode code =
                    r.mHolderCompleted ? ResultCode.ALREADY_RUN : ResultCode.OUTCOME_UNKNOWN;
            String message = "the backend server of the first attempt has left";
            mOutcomes.fail(s, r, new Failure(code, message));
            return;
        }
        mDecisionLogger.logRecovery(s, r, "claim_held");
        mRecovery.revoke(s, r);
    }
}
