package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.contention.FleetView;
import org.laurelweir.hedging.HedgeBudget;
import org.laurelweir.hedging.HedgeCounts;
import org.laurelweir.hedging.HedgeDelay;
import org.laurelweir.hedging.HedgeRule;
import org.laurelweir.hedging.ServiceUse;
import org.laurelweir.hedging.WithholdReason;
import org.laurelweir.hedging.WorkTimes;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.placement.Candidate;

/**
 * Hedges slow requests of contended deployments: after a delay, one copy is sent to a second server
 * while nothing of an answer has arrived. The call that answers first becomes or stays the
 * request's current call, and the other is cancelled at once. Only repeatable requests are hedged,
 * and only before the first byte for the caller, so that an answer never joins two runs.
 */
final class Hedges {
    /**
     * Number of servers whose slots and tokens are averaged. The servers of one service are alike,
     * and the cost must not grow with the service.
     */
    private static final int MAX_SAMPLED_SERVERS = 32;

    private final boolean mIsEnabled;
    private final WorkTimes mWorkTimes;
    private final SecondCalls mSeconds;
    private final Attempts mAttempts;
    private final ServerChoice mChoice;
    private final LoadEstimator mLoads;
    private final FleetView mFleet;
    private final Outcomes mOutcomes;
    private final CrashGuard mCrashGuard;
    private final InvalidAnswerCalls mInvalidAnswers;
    private final RequestDecisions mDecisions;
    private final HedgeDelay mDelay = new HedgeDelay();
    private final HedgeBudget mBudget;
    private final HedgeRule mRule;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * Creates hedges without any second call.
     *
     * @param share maximum number of hedged requests, as a share of a service's requests; 0 for
     *     none
     */
    Hedges(
            double share,
            WorkTimes workTimes,
            SecondCalls seconds,
            Attempts attempts,
            ServerChoice choice,
            LoadEstimator loads,
            FleetView fleet,
            Outcomes outcomes,
            CrashGuard crashGuard,
            InvalidAnswerCalls invalidAnswers,
            RequestDecisions decisions) {
        mIsEnabled = share > 0;
        mWorkTimes = workTimes;
        mSeconds = seconds;
        mAttempts = attempts;
        mChoice = choice;
        mLoads = loads;
        mFleet = fleet;
        mOutcomes = outcomes;
        mCrashGuard = crashGuard;
        mInvalidAnswers = invalidAnswers;
        mDecisions = decisions;
        mBudget = new HedgeBudget(share);
        mRule = new HedgeRule(mBudget);
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
        mSeconds.beginStep(now, effects);
    }

    HedgeCounts counts() {
        return mSeconds.counts();
    }

    /** Records a request, of which a share may be hedged. */
    void onRequest(ActiveRequest r) {
        if (isEnabledFor(r)) {
            mBudget.onRequest(r.mService);
        }
    }

    private boolean isEnabledFor(ActiveRequest r) {
        return mIsEnabled && r.mRequest.terms().contended();
    }

    /** Hedges the requests that have waited for their delay. */
    void onTick(Collection<ActiveRequest> requests) {
        if (mIsEnabled) {
            requests.forEach(this::check);
        }
    }

    private void check(ActiveRequest r) {
        if (r.mIsHedgeDecided || !isEnabledFor(r) || !mayBeHedged(r)) {
            return;
        }
        HedgeDelay.Due due = due(r);
        if (!mNow.isAfter(r.mCallStart.plus(due.delay()))) {
            return;
        }
        r.mIsHedgeDecided = true;
        Optional<WithholdReason> reason = mRule.check(slowRequest(r, due), () -> use(r));
        if (reason.isEmpty()) {
            reason = mAttempts.startSecond(r);
        }
        reason.ifPresentOrElse(w -> withhold(r, w), () -> mBudget.onHedged(r.mService));
    }

    /** Returns whether a copy changes nothing but the time of the answer. */
    private static boolean mayBeHedged(ActiveRequest r) {
        boolean isWaitingForServer = r.mCall != 0 && !r.mHeadReceived && !r.mHeadSent;
        boolean isWaitingForControl = r.mLookup != 0 || r.mRecord != 0 || r.mIsHolding;
        boolean isBoundToVersion =
                r.mRequiredVersion != null || r.mRequest.resumption().isRequested();
        return isWaitingForServer
                && r.route().maxAttempts() > 1
                && r.isRepeatable()
                && !isWaitingForControl
                && !isBoundToVersion
                && !r.mDetached
                && !r.mCallerBlocked;
    }

    private HedgeDelay.Due due(ActiveRequest r) {
        Instant arrival = r.mDeadline.minus(r.mRequest.timeLeft());
        return mDelay.due(
                r.route().name(),
                r.route().objective(),
                Duration.between(arrival, r.mCallStart),
                mWorkTimes.factor(mNow, r.mService, r.mBackend),
                mNow);
    }

    private HedgeRule.SlowRequest slowRequest(ActiveRequest r, HedgeDelay.Due due) {
        boolean isSuspect =
                mCrashGuard.isSuspect(r)
                        || mCrashGuard.isQuarantined(r)
                        || mInvalidAnswers.isWatched(r);
        int attemptsLeft = r.route().maxAttempts() - r.mAttemptCount;
        return new HedgeRule.SlowRequest(
                r.mService, attemptsLeft, isSuspect, due.canMeetObjective());
    }

    private ServiceUse use(ActiveRequest r) {
        List<Candidate> serving = mChoice.serving(r.mService);
        List<Candidate> sample = serving.subList(0, Math.min(MAX_SAMPLED_SERVERS, serving.size()));
        double slots = sample.stream().mapToInt(mChoice::slots).average().orElse(0);
        return new ServiceUse(
                mLoads.mean(mNow, r.mService),
                slots,
                meanTokens(r.mService, sample),
                r.mRequest.terms().engine(r.mService).memoryTokens());
    }

    /** Returns the mean tokens at some servers; NaN if those of other routers are unknown. */
    private double meanTokens(String service, List<Candidate> sample) {
        if (Double.isNaN(mFleet.ageMillis(mNow))) {
            return Double.NaN;
        }
        return sample.stream()
                .mapToDouble(c -> mFleet.tokens(mNow, service, c.ref()))
                .average()
                .orElse(Double.NaN);
    }

    private void withhold(ActiveRequest r, WithholdReason reason) {
        counts().onWithheld(reason);
        mEffects.accept(mDecisions.withReason(r, "hedge_withheld_" + reason.word(), mNow));
    }

    /**
     * Handles the head of a second call's answer. A successful one makes the call the request's
     * current call, which then handles the head; any other changes nothing for the first call.
     */
    void onHead(DirectEvent.HeadReceived e) {
        ActiveRequest r = mSeconds.requestOf(e.call());
        if (r == null) {
            return;
        }
        AnswerMetadata m = e.metadata();
        if (m.genuine() && !m.notRun() && e.status() < 400) {
            mDelay.onFirstData(r.route().name(), Duration.between(r.mCallStart, mNow), mNow);
            mAttempts.switchToSecond(r);
            return;
        }
        BackendRef server = r.mSecond.backend().ref();
        m.load().ifPresent(l -> mOutcomes.onReportedLoad(server, l));
        if (m.notRun()) {
            onNotRun(r, e);
        } else if (m.genuine()) {
            onErrorStatus(r, e.status());
        } else {
            onInvalidAnswer(r, m);
        }
    }

    private void onNotRun(ActiveRequest r, DirectEvent.HeadReceived e) {
        boolean misdirected = e.metadata().misdirected();
        mOutcomes.onNotRun(r.mSecond.backend().ref(), misdirected);
        if (misdirected) {
            // It is no attempt at the intended server, as for the first call.
            r.mAttemptCount--;
            r.mMisdirectedCount++;
        }
        mEffects.accept(new DirectEffect.CancelCall(e.call()));
        mSeconds.fail(r, "not_run_" + e.status());
    }

    private void onErrorStatus(ActiveRequest r, int status) {
        SecondCall second = r.mSecond;
        mOutcomes.onHead(second.backend().ref(), second.start());
        if (AnswerStatus.isFailure(status)) {
            mOutcomes.onFailure(r, second.backend().ref());
        }
        r.mMayHaveRun = true;
        mEffects.accept(new DirectEffect.CancelCall(second.call()));
        mSeconds.fail(r, "status_" + status);
    }

    /** Handles an answer that belongs to another request: its server may be about to crash. */
    private void onInvalidAnswer(ActiveRequest r, AnswerMetadata m) {
        SecondCall second = r.mSecond;
        BackendRef server = second.backend().ref();
        r.mMayHaveRun = true;
        mOutcomes.onFailure(r, server);
        mSeconds.fail(r, "the answer belongs to another request, or to none");
        mInvalidAnswers.watch(r, second.call(), server, m.framing());
    }

    /** Handles the failure of a second call, which changes nothing for the first call. */
    void onFailed(DirectEvent.Failed e) {
        ActiveRequest r = mSeconds.requestOf(e.call());
        if (r == null) {
            return;
        }
        BackendRef server = r.mSecond.backend().ref();
        if (!e.failure().isPossiblySent()) {
            onNotSent(r, server, e.failure());
            return;
        }
        r.mMayHaveRun = true;
        mOutcomes.onFailure(r, server);
        if (e.failure() == DirectEvent.Failure.CONNECTION_LOST) {
            mCrashGuard.onConnectionLost(r, server, mNow);
        }
        mSeconds.fail(r, "outcome_unknown of " + r.key().idText() + ": " + e.message());
    }

    private void onNotSent(ActiveRequest r, BackendRef server, DirectEvent.Failure failure) {
        boolean isWithheld = failure == DirectEvent.Failure.WITHHELD;
        if (!isWithheld) {
            mOutcomes.onUnreachable(r, server);
        }
        // It never reached the server and does not count as an attempt, as for the first call.
        r.mAttemptCount--;
        mSeconds.fail(r, isWithheld ? "withheld" : "not_sent");
    }

    /** Handles the head of an answer to the current call that is forwarded to the caller. */
    void onFirstAnswered(ActiveRequest r) {
        if (!isEnabledFor(r)) {
            return;
        }
        if (!r.mHeadSent) {
            mDelay.onFirstData(r.route().name(), Duration.between(r.mCallStart, mNow), mNow);
        }
        mSeconds.cancel(r, "the first call answered");
    }

    /** Cancels the second call of a request that has ended, if it is open. */
    void onEnded(ActiveRequest r) {
        mSeconds.cancel(r, "the request ended");
    }
}
