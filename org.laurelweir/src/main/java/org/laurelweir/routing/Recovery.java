package org.laurelweir.routing;

import org.laurelweir.attempt.AttemptState;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/**
 * Recovers an attempt after contact with its sidecar was lost. Always uses a new connection: a
 * device between the two ends may have lost the state of the old one.
 */
final class Recovery {
    /** Maximum tries to reconnect to an attempt before its outcome counts as unknown. */
    private static final int MAX_TRIES = 6;

    /** Maximum tries if the request may be run elsewhere instead. */
    private static final int MAX_TRIES_IDEMPOTENT = 2;

    private final Placements mPlacements;
    private final Attempts mAttempts;
    private final Retries mRetries;
    private final DecisionLogger mDecisionLogger;

    Recovery(
            Placements placements,
            Attempts attempts,
            Retries retries,
            DecisionLogger decisionLogger) {
        mPlacements = placements;
        mAttempts = attempts;
        mRetries = retries;
        mDecisionLogger = decisionLogger;
    }

    /** Handles a stream that is silent, ended early or skipped bytes. */
    void onContactLost(Step s, ActiveRequest r, String reason) {
        mAttempts.dropStream(s, r);
        mPlacements.onFailure(s.now(), r);
        mDecisionLogger.logRecovery(s, r, reason);
        retry(s, r);
    }

    /** Tries again when the wait is over. */
    void onWake(Step s, ActiveRequest r) {
        if (r.mAccepted) {
            mAttempts.resume(s, r);
        } else {
            revoke(s, r);
        }
    }

    /** Asks the sidecar to prevent the attempt from starting, and to report its state. */
    void revoke(Step s, ActiveRequest r) {
        r.enterPhase(ActiveRequest.Phase.REVOKING, s.now().plus(r.policy().silenceTimeout()));
        s.emit(
                new RouterEffect.Revoke(
                        r.mCaller, r.mTarget.address(), r.mAttempt, r.mTarget.ref()));
    }

    /**
     * Handles the refusal of a stream, which does not tell the attempt's state. Only a revocation
     * does.
     */
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
            default -> onOutcomeUnknown(s, r, "the sidecar restarted while it had the request");
        }
    }

    /**
     * Handles an attempt that is running. Only one stream at a time can read an attempt. If the
     * attempt belongs to another caller's request, resuming it here would take the stream from that
     * caller's router, which would take it back, and so on without end. So this router waits until
     * the attempt has finished and its output is available at once.
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
            onOutcomeUnknown(
                    s,
                    r,
                    "the sidecar reports the attempt as never started after its answer began");
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
