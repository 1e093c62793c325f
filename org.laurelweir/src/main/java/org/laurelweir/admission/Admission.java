package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.placement.BoundDecision;
import org.laurelweir.placement.BoundPolicy;
import org.laurelweir.placement.BoundQuery;
import org.laurelweir.placement.LoadBound;
import org.laurelweir.placement.WorkEstimate;

/**
 * Decides about attempts that have not started: start them now, queue them for a short time,
 * redirect them to the next backend server in rank, or refuse them with a retry-after time.
 *
 * <p>No attempt waits longer than the maximum age of the queue.
 */
final class Admission {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private final String mSelf;
    private final FairQueue mQueue = new FairQueue();
    private final RunningLoad mLoad;
    private final RunTimes mRunTimes;
    private final RedirectRanking mRedirectRanking;
    private final DecisionLogger mDecisionLogger;
    private final AttemptFinisher mFinisher;
    private final Execution mExecution;
    private final FrameSender mFrameSender;
    private final EngineNotices mNotices;
    private SidecarSettings mSettings;
    private BoundPolicy mPolicy;

    Admission(
            String self,
            RunningLoad load,
            RunTimes runTimes,
            RedirectRanking redirectRanking,
            AttemptFinisher finisher,
            Execution execution,
            FrameSender frameSender,
            EngineNotices notices) {
        mSelf = self;
        mLoad = load;
        mRunTimes = runTimes;
        mRedirectRanking = redirectRanking;
        mDecisionLogger = new DecisionLogger(load, redirectRanking);
        mFinisher = finisher;
        mExecution = execution;
        mFrameSender = frameSender;
        mNotices = notices;
    }

    void setSettings(SidecarSettings settings) {
        mSettings = settings;
        mPolicy = new BoundPolicy(settings.bound());
    }

    boolean isSelf(String server) {
        return server.equals(mSelf);
    }

    int waitingCount() {
        return mQueue.size();
    }

    /**
     * Removes an attempt from the queue that has ended for another reason, such as a revocation.
     */
    void removeWaiting(Attempt attempt) {
        mQueue.remove(attempt);
    }

    /**
     * Decides about an attempt that has just arrived.
     *
     * @param cachedTokens how many tokens of its prompt the backend server has cached
     */
    void decide(Step step, Attempt attempt, int cachedTokens) {
        AttemptRequest request = attempt.request();
        WorkEstimate work = estimate(request, cachedTokens);
        attempt.setWork(Math.max(1, work.units(mSettings.bound().prefillWeight())));
        boolean reachable = !isDeadlineUnreachable(step, attempt, Duration.ZERO);
        String target = redirectTarget(attempt);
        BoundQuery query =
                new BoundQuery(work, request.redirects(), !target.isEmpty(), false, reachable);
        BoundDecision decision = mPolicy.decide(query, mLoad.work(), mLoad.mean(step.now()));
        switch (decision) {
            case ADMIT -> admit(step, attempt);
            case WAIT -> enqueue(step, attempt);
            default -> {
                String choice = decision == BoundDecision.REDIRECT ? target : "";
                refuseNotAdmitted(step, attempt, reachable, choice);
            }
        }
    }

    private void refuseNotAdmitted(Step step, Attempt attempt, boolean reachable, String target) {
        if (reachable) {
            refuse(step, attempt, ResultCode.OVERLOADED, AdmissionReason.OVER_BOUND, target);
            return;
        }
        refuse(step, attempt, ResultCode.DEADLINE_UNREACHABLE, AdmissionReason.DEADLINE, target);
    }

    private WorkEstimate estimate(AttemptRequest request, int cachedTokens) {
        int output = request.cost().outputTokens();
        return new WorkEstimate(
                request.cost().promptTokens(),
                cachedTokens,
                output > 0 ? output : mSettings.outputTokens());
    }

    private void admit(Step step, Attempt attempt) {
        if (mQueue.size() > 0) {
            enqueue(step, attempt);
            return;
        }
        // The attempt also passes through the queue, so that it counts in the virtual time.
        // Otherwise the work that an account got while the queue was empty would not count against
        // its share as soon as other attempts wait.
        mQueue.add(step.now(), attempt);
        mQueue.take();
        start(step, attempt, AdmissionReason.WITHIN_BOUND);
    }

    private void enqueue(Step step, Attempt attempt) {
        if (isDeadlineUnreachable(
                step, attempt, mRunTimes.timeUntilEnded(mQueue.size() + 1, mLoad.running()))) {
            refuse(
                    step,
                    attempt,
                    ResultCode.DEADLINE_UNREACHABLE,
                    AdmissionReason.DEADLINE,
                    redirectTarget(attempt));
            return;
        }
        mQueue.add(step.now(), attempt);
        Attempt excess = mQueue.findExcess(mSettings.queue());
        while (excess != null) {
            mQueue.remove(excess);
            refuse(
                    step,
                    excess,
                    ResultCode.OVERLOADED,
                    AdmissionReason.QUEUE_FULL,
                    redirectTarget(excess));
            excess = mQueue.findExcess(mSettings.queue());
        }
        if (mQueue.attempts().contains(attempt)) {
            logDecision(step, attempt, mSelf, AdmissionReason.QUEUED);
            mFrameSender.send(step, attempt, new Frame.Accepted(mQueue.size()));
        }
    }

    /** Starts waiting attempts in the order of the queue while their work fits under the bound. */
    void admitWaiting(Step step) {
        Attempt next = mQueue.peek();
        while (next != null && fitsUnderBound(step, next)) {
            mQueue.take();
            start(step, next, AdmissionReason.WAITED);
            next = mQueue.peek();
        }
    }

    private boolean fitsUnderBound(Step step, Attempt attempt) {
        return LoadBound.admits(
                mLoad.work(),
                attempt.work(),
                mLoad.mean(step.now()),
                mSettings.bound().effectiveFactor(),
                mSettings.bound().capacityFloor());
    }

    /**
     * Refuses the attempts that have reached the maximum age or can no longer meet their deadline.
     */
    void refuseExpired(Step step) {
        for (Attempt a : mQueue.enqueuedUntil(step.now().minus(mSettings.queue().age()))) {
            mQueue.remove(a);
            refuse(step, a, ResultCode.OVERLOADED, AdmissionReason.QUEUE_AGE, redirectTarget(a));
        }
        for (Attempt a : mQueue.attempts()) {
            if (isDeadlineUnreachable(step, a, Duration.ZERO)) {
                mQueue.remove(a);
                refuse(step, a, ResultCode.DEADLINE_UNREACHABLE, AdmissionReason.DEADLINE, "");
            }
        }
    }

    /**
     * Refuses an attempt because this backend server takes no new work, and names a redirect target
     * if there is one.
     */
    void refuseNewWork(Step step, Attempt attempt, ResultCode code, AdmissionReason reason) {
        mQueue.remove(attempt);
        refuse(step, attempt, code, reason, redirectTarget(attempt));
    }

    /** Refuses all waiting attempts because this backend server takes no new work. */
    void refuseAllWaiting(Step step, ResultCode code, AdmissionReason reason) {
        mQueue.attempts().forEach(a -> refuseNewWork(step, a, code, reason));
    }

    /** Redirects an attempt to the backend server that holds its chat's history. */
    void redirectToChat(Step step, Attempt attempt, String server) {
        refuse(step, attempt, ResultCode.CHAT_ELSEWHERE, AdmissionReason.CHAT_ELSEWHERE, server);
    }

    private void start(Step step, Attempt attempt, AdmissionReason reason) {
        logDecision(step, attempt, mSelf, reason);
        mExecution.start(step, attempt);
    }

    private void refuse(
            Step step, Attempt attempt, ResultCode code, AdmissionReason reason, String target) {
        logDecision(step, attempt, target.isEmpty() ? code.name() : target, reason);
        Duration retryAfter = target.isEmpty() ? retryAfter(step, attempt) : Duration.ZERO;
        mFinisher.refuse(step, attempt, new Frame.Refused(code, reason.text(), target, retryAfter));
    }

    private void logDecision(Step step, Attempt attempt, String choice, AdmissionReason reason) {
        double bound =
                LoadBound.bound(
                        mLoad.mean(step.now()),
                        mSettings.bound().effectiveFactor(),
                        mSettings.bound().capacityFloor());
        mDecisionLogger.log(step, attempt.request(), choice, reason, bound);
    }

    private String redirectTarget(Attempt attempt) {
        return mRedirectRanking.redirectTarget(attempt.request(), mSettings.bound().maxRedirects());
    }

    private boolean isDeadlineUnreachable(Step step, Attempt attempt, Duration wait) {
        Duration left = Duration.between(step.now(), attempt.deadline());
        return mRunTimes.isDeadlineUnreachable(attempt.work(), wait, left);
    }

    /**
     * Returns after which time the caller should retry: the expected time until enough attempts
     * have ended for all that wait now and one more. A part that depends on the attempt's id, up to
     * the same time again, spreads the retries of callers that are refused together. While the
     * backend server is in backoff, this time begins at the end of its backoff.
     */
    private Duration retryAfter(Step step, Attempt attempt) {
        Duration untilFree = mRunTimes.timeUntilEnded(mQueue.size() + 1, mLoad.running());
        Duration base = untilFree.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : untilFree;
        long spread = Math.floorMod(attempt.id().hashCode(), base.toMillis());
        Duration total = base.plusMillis(spread);
        Duration limited = total.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : total;
        return mNotices.backoffLeft(step.now()).plus(limited);
    }
}
