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
    private final Decisions mDecisions;
    private final RetryBudget mBudget = new RetryBudget();
    private final SplittableRandom mRandom;

    Retries(
            RouterConfig config,
            Placements placements,
            Attempts attempts,
            Claims claims,
            Outcomes outcomes,
            Decisions decisions) {
        mConfig = config;
        mPlacements = placements;
        mAttempts = attempts;
        mClaims = claims;
        mOutcomes = outcomes;
        mDecisions = decisions;
        mRandom = new SplittableRandom(config.seed());
    }

    /** Sends a request's first attempt. */
    void first(Step s, ActiveRequest r) {
        mBudget.earn(r.policy().retryBudgetShare());
        r.mFailure = new Failure(ResultCode.NO_BACKEND_SERVER, "no backend server takes work");
        next(s, r);
    }

    /** Sends a request's next attempt to where its placement says, or gives it up. */
    void next(Step s, ActiveRequest r) {
        Placements.Choice choice = mPlacements.choose(s.now(), r);
        if (choice == null) {
            mOutcomes.fail(s, r, r.mFailure);
            return;
        }
        send(s, r, choice);
    }

    /** A sidecar refused the present attempt: it was not run and will not be. */
    void refused(Step s, ActiveRequest r, Frame.Refused f) {
        r.mFailure = new Failure(f.code(), f.message(), f.retryAfter());
        replaceClaim(r);
        if (f.code() == ResultCode.CHAT_ELSEWHERE) {
            // It would have taken the request, and is the one to ask where the named one is
            // leaving.
            r.mTried.remove(r.mTarget.ref());
        }
        if (!f.redirectTo().isEmpty() && r.mRedirects < MAX_REDIRECTS) {
            redirect(s, r, f.redirectTo());
            return;
        }
        if (f.redirectTo().isEmpty() && isFinal(f.code())) {
            mOutcomes.fail(s, r, r.mFailure);
            return;
        }
        again(s, r, true);
    }

    /**
     * Follows a redirect. Where it leads to a backend server that this router does not know, or has
     * tried, the router's own ranking takes its place: the sidecar may know of others, or be the
     * one that does not know yet that the named one is gone.
     */
    private void redirect(Step s, ActiveRequest r, String named) {
        r.mRedirects++;
        Placements.Choice choice = mPlacements.named(r, named);
        if (choice == null) {
            next(s, r);
        } else {
            send(s, r, choice);
        }
    }

    /** Where no sidecar has room or time, asking more of them only adds to the load. */
    private static boolean isFinal(ResultCode code) {
        return code == ResultCode.OVERLOADED || code == ResultCode.DEADLINE_UNREACHABLE;
    }

    /** No byte of the present attempt left this router. */
    void notSent(Step s, ActiveRequest r, String message) {
        r.mFailure = new Failure(ResultCode.NO_BACKEND_SERVER, message);
        replaceClaim(r);
        again(s, r, false);
    }

    /** A sidecar made sure that the present attempt never starts. */
    void neverStarted(Step s, ActiveRequest r) {
        r.mFailure = new Failure(ResultCode.REVOKED, "contact lost before the request was run");
        replaceClaim(r);
        again(s, r, true);
    }

    /** The present attempt ran, or nobody can tell whether it did. */
    void mayHaveRun(Step s, ActiveRequest r, Failure failure) {
        r.mFailure = failure;
        r.mMayHaveRun = true;
        if (!r.mayRunAgain()) {
            mOutcomes.fail(s, r, failure);
            return;
        }
        again(s, r, true);
    }

    /** The claim's holder is proved not to have run: the next attempt takes its place. */
    private static void replaceClaim(ActiveRequest r) {
        r.mReplaces = r.mClaimHolder;
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
    private void again(Step s, ActiveRequest r, boolean reached) {
        Instant at = s.now().plus(backoff(r.policy(), r.mRetries));
        boolean allowed = r.mRetries + 1 < r.policy().maxAttempts() && at.isBefore(r.mDeadline);
        if (r.mDetached || !allowed || (reached && !mBudget.spend())) {
            mOutcomes.fail(s, r, r.mFailure);
            return;
        }
        r.mRetries++;
        r.enter(ActiveRequest.Phase.BACKING_OFF, at);
    }

    /** Returns a wait picked by chance below a ceiling that doubles, so that retries spread out. */
    Duration backoff(RequestPolicy policy, int tries) {
        long min = policy.backoffMin().toNanos();
        long ceiling = min << Math.min(MAX_BACKOFF_SHIFT, tries);
        ceiling = Math.max(min + 1, Math.min(policy.backoffMax().toNanos(), ceiling));
        return Duration.ofNanos(mRandom.nextLong(min, ceiling));
    }

    /** Returns a key that places a request of no chat. */
    long spread() {
        return mRandom.nextLong();
    }

    private void send(Step s, ActiveRequest r, Placements.Choice choice) {
        r.mAttempts++;
        AttemptId id = new AttemptId(mConfig.name(), mConfig.incarnation(), r.mCaller, r.mAttempts);
        r.turnTo(id, choice.target());
        mDecisions.chose(s, r, choice);
        if (r.needsClaim()) {
            mClaims.claim(s, r);
        } else {
            mAttempts.begin(s, r);
        }
    }
}
