package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/** Decides whether a request is tried again, when, and where. */
final class Retries {
    /** How often a sidecar's redirect is followed; later ones give way to the router's ranking. */
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
            DecisionLogger decisions) {
        mConfig = config;
        mPlacements = placements;
        mAttempts = attempts;
        mClaims = claims;
        mOutcomes = outcomes;
        mDecisionLogger = decisions;
        mRandom = new SplittableRandom(config.seed());
    }

    /** Sends a request's first attempt. */
    void sendFirst(Step s, ActiveRequest r) {
        mBudget.earn(r.policy().retryBudgetShare());
        r.mLastFailure = new Failure(ResultCode.NO_BACKEND_SERVER, "no backend server takes work");
        sendNext(s, r);
    }

    /** Sends a request's next attempt to where its placement says, or gives it up. */
    void sendNext(Step s, ActiveRequest r) {
        Placements.Choice choice = mPlacements.choose(s.now(), r);
        if (choice == null) {
            mOutcomes.fail(s, r, r.mLastFailure);
            return;
        }
        sendAttempt(s, r, choice);
    }

    /** A sidecar refused the present attempt: it was not run and will not be. */
    void onRefused(Step s, ActiveRequest r, Frame.Refused f) {
        r.mLastFailure = new Failure(f.code(), f.message(), f.retryAfter());
        replaceClaim(r);
        if (f.code() == ResultCode.CHAT_ELSEWHERE) {
            // It would have taken the request, and is the one to ask where the named one is
            // leaving.
            r.mTriedTargets.remove(r.mTarget.ref());
        }
        if (!f.redirectTo().isEmpty() && r.mRedirectCount < MAX_REDIRECTS) {
            followRedirect(s, r, f.redirectTo());
            return;
        }
        if (f.redirectTo().isEmpty() && isFinal(f.code())) {
            mOutcomes.fail(s, r, r.mLastFailure);
            return;
        }
        scheduleRetry(s, r, true);
    }

    /**
     * Follows a redirect. Where it leads to a backend server that this router does not know, or has
     * tried, the router's own ranking takes its place: the sidecar may know of others, or be the
     * one that does not know yet that the named one is gone.
     */
    private void followRedirect(Step s, ActiveRequest r, String named) {
        r.mRedirectCount++;
        Placements.Choice choice = mPlacements.chooseNamed(r, named);
        if (choice == null) {
            sendNext(s, r);
        } else {
            sendAttempt(s, r, choice);
        }
    }

    /** Where no sidecar has room or time, asking more of them only adds to the load. */
    private static boolean isFinal(ResultCode code) {
        return code == ResultCode.OVERLOADED || code == ResultCode.DEADLINE_UNREACHABLE;
    }

    /** No byte of the present attempt left this router. */
    void onNotSent(Step s, ActiveRequest r, String message) {
        r.mLastFailure = new Failure(ResultCode.NO_BACKEND_SERVER, message);
        replaceClaim(r);
        scheduleRetry(s, r, false);
    }

    /** A sidecar made sure that the present attempt never starts. */
    void onNeverStarted(Step s, ActiveRequest r) {
        r.mLastFailure = new Failure(ResultCode.REVOKED, "contact lost before the request was run");
        replaceClaim(r);
        scheduleRetry(s, r, true);
    }

    /** The present attempt ran, or nobody can tell whether it did. */
    void onMayHaveRun(Step s, ActiveRequest r, Failure failure) {
        r.mLastFailure = failure;
        r.mMayHaveRun = true;
        if (!r.mayRunAgain()) {
            mOutcomes.fail(s, r, failure);
            return;
        }
        scheduleRetry(s, r, true);
    }

    /** The claim's holder is proved not to have run: the next attempt takes its place. */
    private static void replaceClaim(ActiveRequest r) {
        r.mReplacedAttempt = r.mClaimHolder;
        if (r.mFollowing) {
            r.mMayHaveRun = false;
        }
    }

    /**
     * Tries again after a wait, within the limits.
     *
     * @param reached whether the last attempt may have cost a sidecar anything; one that never left
     *     this router adds no load, so it takes nothing out of the budget
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

    /** Returns a wait picked by chance below a ceiling that doubles, so that retries spread out. */
    Duration backoff(RequestPolicy policy, int tries) {
        long min = policy.backoffMin().toNanos();
        long ceiling = min << Math.min(MAX_BACKOFF_SHIFT, tries);
        ceiling = Math.max(min + 1, Math.min(policy.backoffMax().toNanos(), ceiling));
        return Duration.ofNanos(mRandom.nextLong(min, ceiling));
    }

    /** Returns a key that places a request of no chat. */
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
