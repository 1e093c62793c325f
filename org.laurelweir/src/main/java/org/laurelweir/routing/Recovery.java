package org.laurelweir.routing;

import org.laurelweir.attempt.AttemptState;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/**
 * Finds an attempt again after contact with its sidecar was lost, always over a new connection:
 * something between the two ends may have lost track of the old one.
 */
final class Recovery {
    /** Tries to reach an attempt before its outcome is called unknown. */
    private static final int MAX_TRIES = 6;

    /** Tries where the request may as well run elsewhere. */
    private static final int MAX_TRIES_IDEMPOTENT = 2;

    private final Placements mPlacements;
    private final Attempts mAttempts;
    private final Retries mRetries;
    private final DecisionLogger mDecisionLogger;

    Recovery(Placements placements, Attempts attempts, Retries retries, DecisionLogger decisions) {
        mPlacements = placements;
        mAttempts = attempts;
        mRetries = retries;
        mDecisionLogger = decisions;
    }

    /** The stream is silent, ended early or has left something out. */
    void onContactLost(Step s, ActiveRequest r, String reason) {
        mAttempts.dropStream(s, r);
        mPlacements.onFailure(s.now(), r);
        mDecisionLogger.logRecovery(s, r, reason);
        retry(s, r);
    }

    /** The time of the next try has come. */
    void onWake(Step s, ActiveRequest r) {
        if (r.mAccepted) {
            mAttempts.resume(s, r);
        } else {
            revoke(s, r);
        }
    }

    /** Asks the sidecar to make sure that the attempt never starts, and what its state is. */
    void revoke(Step s, ActiveRequest r) {
        r.enterPhase(ActiveRequest.Phase.REVOKING, s.now().plus(r.policy().silenceTimeout()));
        s.emit(
                new RouterEffect.Revoke(
                        r.mCaller, r.mTarget.address(), r.mAttempt, r.mTarget.ref()));
    }

    /** A stream that follows the attempt was refused; only a revocation tells what that means. */
    void onStreamRefused(Step s, ActiveRequest r) {
        r.mAccepted = false;
        retry(s, r);
    }

    void onRevokeAnswered(Step s, ActiveRequest r, AttemptId attempt, AttemptState state) {
        if (!isAwaited(r, attempt)) {
            return;
        }
        switch (state) {
            case RUNNING -> onRunning(s, r);
            case FINISHED -> resume(s, r);
            case NEVER_STARTED -> onNeverStarted(s, r);
            default -> onOutcomeUnknown(s, r, "the sidecar was restarted while it had the request");
        }
    }

    /**
     * One stream at a time follows an attempt. While another caller's request runs, following it
     * would take the stream from that caller's router, which would take it back, without end; so
     * this one waits until the attempt has finished and its output can be had at once.
     */
    private void onRunning(Step s, ActiveRequest r) {
        if (!r.mFollowing) {
            resume(s, r);
            return;
        }
        r.enterPhase(ActiveRequest.Phase.RECONNECTING, s.now().plus(r.policy().backoffMax()));
    }

    private void resume(Step s, ActiveRequest r) {
        r.mAccepted = true;
        mAttempts.resume(s, r);
    }

    void onRevokeFailed(Step s, ActiveRequest r, AttemptId attempt) {
        if (isAwaited(r, attempt)) {
            retry(s, r);
        }
    }

    private static boolean isAwaited(ActiveRequest r, AttemptId attempt) {
        return r.mPhase == ActiveRequest.Phase.REVOKING && attempt.equals(r.mAttempt);
    }

    private void onNeverStarted(Step s, ActiveRequest r) {
        if (r.mHeadSent) {
            onOutcomeUnknown(s, r, "the sidecar denies an answer that it began");
            return;
        }
        mRetries.onNeverStarted(s, r);
    }

    private void retry(Step s, ActiveRequest r) {
        r.mRecoveryCount++;
        if (r.mRecoveryCount > (r.mayRunAgain() ? MAX_TRIES_IDEMPOTENT : MAX_TRIES)) {
            onOutcomeUnknown(s, r, "contact with the backend server was lost");
            return;
        }
        if (r.mRecoveryCount == 1) {
            onWake(s, r);
            return;
        }
        r.enterPhase(
                ActiveRequest.Phase.RECONNECTING,
                s.now().plus(mRetries.backoff(r.policy(), r.mRecoveryCount)));
    }

    private void onOutcomeUnknown(Step s, ActiveRequest r, String message) {
        ResultCode code = ResultCode.OUTCOME_UNKNOWN;
        if (r.mFollowing && r.mHolderCompleted) {
            code = ResultCode.ALREADY_RUN;
        }
        mRetries.onMayHaveRun(s, r, new Failure(code, message));
    }
}
