package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/** Decides whether, when and where a request is retried. */
final class Retries {
    /** Maximum redirects followed per request. After that the router chooses by its own ranking. */
    static final int MAX_REDIRECTS = 2;

    private static final int MAX_BACKOFF_SHIFT = 10;

    private final RouterConfig mConfig;
    private final Placements mPlacements;
    private final Attempts mAttempts;
    private final Claims mClaims;
    private final Outcomes mOutcomes;
    private final DecisionLogger mDecisionLogger;
    private final RetryBudget mBudget = new RetryBudget();
    private final SplittableRandom mRandom;

    Retries(
            RouterConfig config,
            Placements placements,
            Attempts attempts,
            Claims claims,
            Outcomes outcomes,
            DecisionLogger decisionLogger) {
        mConfig = config;
        mPlacements = placements;
        mAttempts = attempts;
        mClaims = claims;
        mOutcomes = outcomes;
        mDecisionLogger = decisionLogger;
        mRandom = new SplittableRandom(config.seed());
    }

    /** Sends a request's first attempt. */
    void sendFirst(Step s, ActiveRequest r) {
        mBudget.earn(r.policy().retryBudgetShare());
        r.mLastFailure =
                new Failure(ResultCode.NO_BACKEND_SERVER, "no backend server accepts requests");
        sendNext(s, r);
    }

    /** Sends a request's next attempt, or fails the request if no backend server is left. */
    void sendNext(Step s, ActiveRequest r) {
        Placements.Choice choice = mPlacements.choose(s.now(), r);
        if (choice == null) {
            mOutcomes.fail(s, r, r.mLastFailure);
            return;
        }
        sendAttempt(s, r, choice);
    }

    /** Handles a sidecar's refusal of the current attempt, which did not run and never will. */
    void onRefused(Step s, ActiveRequest r, Frame.Refused refused) {
        r.mLastFailure = new Failure(refused.code(), refused.message(), refused.retryAfter());
        replaceClaim(r);
        if (refused.code() == ResultCode.CHAT_ELSEWHERE) {
            // This sidecar would take the request itself. It is the one to try again if the sidecar
            // that it names is leaving.
            r.mTriedTargets.remove(r.mTarget.ref());
        }
        if (!refused.redirectTo().isEmpty() && r.mRedirectCount < MAX_REDIRECTS) {
            followRedirect(s, r, refused.redirectTo());
            return;
        }
        if (refused.redirectTo().isEmpty() && isFinal(refused.code())) {
            mOutcomes.fail(s, r, r.mLastFailure);
            return;
        }
        scheduleRetry(s, r, true);
    }

    /**
     * Follows a redirect. If it names a backend server that this router does not know or has tried,
     * the router's own ranking decides instead. The sidecar may know backend servers that this
     * router does not, or may not know yet that the named one has left.
     */
    private void followRedirect(Step s, ActiveRequest r, String server) {
        r.mRedirectCount++;
        Placements.Choice choice = mPlacements.chooseNamed(r, server);
        if (choice == null) {
            sendNext(s, r);
        } else {
            sendAttempt(s, r, choice);
        }
    }

    /** Returns whether a retry would only add load, because no sidecar has capacity or time. */
    private static boolean isFinal(ResultCode code) {
        return code == ResultCode.OVERLOADED || code == ResultCode.DEADLINE_UNREACHABLE;
    }

    /** Handles a current attempt of which no byte left this router. */
    void onNotSent(Step s, ActiveRequest r, String message) {
        r.mLastFailure = new Failure(ResultCode.NO_BACKEND_SERVER, message);
        replaceClaim(r);
        scheduleRetry(s, r, false);
    }

    /** Handles a current attempt that its sidecar has prevented from ever starting. */
    void onNeverStarted(Step s, ActiveRequest r) {
        r.mLastFailure =
                new Failure(
                        ResultCode.REVOKED,
                        "lost contact with the sidecar before the request was run");
        replaceClaim(r);
        scheduleRetry(s, r, true);
    }

    /** Handles a current attempt that ran, or may have run. */
    void onMayHaveRun(Step s, ActiveRequest r, Failure failure) {
        r.mLastFailure = failure;
        r.mMayHaveRun = true;
        if (!r.mayRunAgain()) {
            mOutcomes.fail(s, r, failure);
            return;
        }
        scheduleRetry(s, r, true);
    }

    /** Lets the next attempt take over the claim of a holder that is known not to have run. */
    private static void replaceClaim(ActiveRequest r) {
        r.mReplacedAttempt = r.mClaimHolder;
        if (r.mFollowing) {
            r.mMayHaveRun = false;
        }
    }

    /**
     * Schedules a retry after a backoff, or fails the request if its limits allow none.
     *
     * @param reached whether the last attempt may have reached a sidecar. One that never left this
     *     router added no load, so its retry costs no budget
     */
    private void scheduleRetry(Step s, ActiveRequest r, boolean reached) {
        Instant at = s.now().plus(backoff(r.policy(), r.mRetryCount));
        boolean allowed = r.mRetryCount + 1 < r.policy().maxAttempts() && at.isBefore(r.mDeadline);
        if (r.mDetached || !allowed || (reached && !mBudget.trySpend())) {
            mOutcomes.fail(s, r, r.mLastFailure);
            return;
        }
        r.mRetryCount++;
        r.enterPhase(ActiveRequest.Phase.BACKING_OFF, at);
    }

    /**
     * Returns a random wait below a ceiling that doubles with each try, so that retries spread out.
     */
    Duration backoff(RequestPolicy policy, int tries) {
        long min = policy.backoffMin().toNanos();
        long ceiling = min << Math.min(MAX_BACKOFF_SHIFT, tries);
        ceiling = Math.max(min + 1, Math.min(policy.backoffMax().toNanos(), ceiling));
        return Duration.ofNanos(mRandom.nextLong(min, ceiling));
    }

    /** Returns a random chat key for a request without a chat. */
    long randomChatKey() {
        return mRandom.nextLong();
    }

    private void sendAttempt(Step s, ActiveRequest r, Placements.Choice choice) {
        r.mAttemptCount++;
        AttemptId id =
                new AttemptId(mConfig.name(), mConfig.incarnation(), r.mCaller, r.mAttemptCount);
        r.startOwnAttempt(id, choice.target());
        mDecisionLogger.logChoice(s, r, choice);
        if (r.needsClaim()) {
            mClaims.claim(s, r);
        } else {
            mAttempts.begin(s, r);
        }
    }
}
