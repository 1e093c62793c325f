package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectRouting;
import org.laurelweir.direct.NoticeCounts;
import org.laurelweir.direct.SlowStartLimiter;
import org.laurelweir.hedging.HedgeCounts;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Reducer;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.quarantine.CrashTable;
import org.laurelweir.quarantine.QuarantineLogger;
import org.laurelweir.waiting.WaitingCounts;

/** The decision logic of one router. Passes each event to the class that handles it. */
public final class RouterReducer implements Reducer<RouterEvent, RouterEffect> {
    private final ExchangeScheduler mExchanges;
    private final Requests mRequests = new Requests();
    private final MembershipChangeLogger mChangeLogger = new MembershipChangeLogger();
    private final DataCentreDrainLogger mDrainLogger = new DataCentreDrainLogger();
    private final Memberships mMemberships = new Memberships(mChangeLogger::onChange);
    private final AccountLimits mLimits = new AccountLimits();
    private final Placements mPlacements;
    private final Outcomes mOutcomes;
    private final Retries mRetries;
    private final Recovery mRecovery;
    private final ClaimAnswers mClaimAnswers;
    private final Streams mStreams;
    private final Timers mTimers;
    private final DirectRouting mDirect;
    private final QuarantineLogger mQuarantineLogger = new QuarantineLogger(DecisionLogger.PROGRAM);
    private final CrashTable mCrashes;
    private final CrashSharing mCrashSharing;
    private final LoadEstimator mLoads = new LoadEstimator();
    private final SlowStartLimiter mSlowStarts = new SlowStartLimiter();
    private final DigestLogger mLoadDigestLogger = DigestLogger.ofLoads(mLoads);
    private final FleetDemand mDemand = new FleetDemand();
    private final DigestLogger mDemandDigestLogger = DigestLogger.ofDemand(mDemand);
    private boolean mStopping;

    /**
     * Creates the reducer of a router that has just started and knows no backend server.
     *
     * @param config the router's configuration
     */
    public RouterReducer(RouterConfig config) {
        mExchanges = new ExchangeScheduler(config.exchangeInterval());
        mCrashes = new CrashTable(config.name(), mQuarantineLogger);
        mCrashSharing = new CrashSharing(mCrashes);
        mPlacements = new Placements(config, mMemberships);
        mDirect =
                new DirectRouting(
                        mMemberships,
                        mLimits::routerCount,
                        config.retryLimits(),
                        mCrashes,
                        mLoads,
                        mSlowStarts,
                        config.answerLimits(),
                        config.seed(),
                        mDemand,
                        config.hedgeShare());
        DecisionLogger decisionLogger = new DecisionLogger(config, mPlacements);
        Claims claims = new Claims();
        Attempts attempts = new Attempts(mRequests);
        mOutcomes = new Outcomes(mRequests, claims, mLimits, decisionLogger);
        mRetries = new Retries(config, mPlacements, attempts, claims, mOutcomes, decisionLogger);
        mRecovery = new Recovery(mPlacements, attempts, mRetries, decisionLogger);
        mClaimAnswers =
                new ClaimAnswers(mMemberships, attempts, mRecovery, mOutcomes, decisionLogger);
        mStreams = new Streams(mRequests, mPlacements, mRetries, mRecovery, mOutcomes);
        mTimers = new Timers(mRequests, mStreams, mRetries, mRecovery, mClaimAnswers, mOutcomes);
    }

    /** Returns the counts of hedged requests, which other threads may read. */
    public HedgeCounts hedgeCounts() {
        return mDirect.hedgeCounts();
    }

    /** Returns the counts of what backend servers said of themselves in answers. */
    public NoticeCounts noticeCounts() {
        return mDirect.noticeCounts();
    }

    /** Returns the numbers of requests that wait until a backend server has room. */
    public WaitingCounts waitingCounts() {
        return mDirect.waitingCounts();
    }

    @Override
    public void step(Instant now, RouterEvent event, Consumer<? super RouterEffect> effects) {
        Step s = new Step(now, effects);
        if (event instanceof RouterEvent.Tick) {
            onTick(s);
        } else if (event instanceof RouterEvent.FrameArrived e) {
            mStreams.onFrame(s, e.stream(), e.frame());
        } else if (event instanceof RouterEvent.StreamLost e) {
            mStreams.onStreamLost(s, e);
        } else if (event instanceof RouterEvent.ExchangeAnswered e) {
            onExchangeAnswered(s, e);
        } else if (event instanceof RouterEvent.ExchangeFailed) {
            mExchanges.onEnded(false);
            mLoads.requestFullReport();
            mDemand.requestFullReport();
        } else if (event instanceof RouterEvent.Direct e) {
            stepDirect(s, e.event());
        } else if (event instanceof RouterEvent.StopRequested) {
            mStopping = true;
        } else {
            onRequestEvent(s, event);
        }
        mQuarantineLogger.flush(now, d -> s.emit(new RouterEffect.LogDecision(d)));
        if (mStopping && mRequests.isEmpty() && mDirect.isIdle()) {
            mStopping = false;
            s.emit(new RouterEffect.Stopped());
        }
    }

    private void stepDirect(Step s, DirectEvent event) {
        mDirect.step(s.now(), event, e -> s.emit(new RouterEffect.Direct(e)));
    }

    private void onExchangeAnswered(Step s, RouterEvent.ExchangeAnswered answer) {
        mExchanges.onEnded(answer.membership().full() || mMemberships.hasFullView());
        if (!answer.membership().cursor().isSameIncarnation(mMemberships.cursor())) {
            mLoads.requestFullReport();
            mDemand.requestFullReport();
        }
        applyRules(s, answer.rules());
        mMemberships.apply(s.now(), answer.membership());
        mChangeLogger.flush(s, mMemberships.cursor());
        mCrashSharing.onAnswered(s.now(), mMemberships.cursor(), answer.crashes());
        if (Memberships.hasChanges(answer.membership())) {
            mPlacements.prune();
        }
        mPlacements.onMeanLoads(answer.loads());
        mLimits.onRouterCount(s.now(), answer.routers());
        mLoads.onDigest(answer.digest(), mLimits.routerCount(), this::serviceOf);
        mDemand.onDigest(answer.contention(), mLimits.routerCount());
    }

    /** Applies control's rules, before the membership, so that new backend servers obey them. */
    private void applyRules(Step s, PlacementRules rules) {
        if (mMemberships.applyRules(s.now(), rules)) {
            mDrainLogger.log(s, rules.drained(), mMemberships.cursor());
            mPlacements.prune();
        }
        mSlowStarts.onPermits(s.now(), rules.slowStartPermits());
    }

    /** Returns the service of a backend server, or null if this run of it is unknown. */
    private String serviceOf(BackendRef ref) {
        Backend b = mMemberships.backend(ref.id());
        return b == null || !b.ref().equals(ref) ? null : b.service();
    }

    private void onTick(Step s) {
        mMemberships.onTick(s.now());
        mChangeLogger.flush(s, mMemberships.cursor());
        mTimers.onTick(s);
        stepDirect(s, new DirectEvent.Tick());
        mCrashes.expire(s.now());
        mLoadDigestLogger.onTick(s, mMemberships.cursor());
        mDemandDigestLogger.onTick(s, mMemberships.cursor());
        mExchanges.onTick(s, mMemberships.cursor(), mCrashSharing, mLoads, mDemand);
    }

    private void onRequestEvent(Step s, RouterEvent event) {
        if (event instanceof RouterEvent.RequestArrived e) {
            onRequestArrived(s, e.caller(), e.request());
        } else if (event instanceof RouterEvent.CallerGone e) {
            withRequest(e.caller(), r -> onCallerGone(s, r));
        } else if (event instanceof RouterEvent.OutputConsumed e) {
            withRequest(e.caller(), r -> mStreams.onOutputConsumed(s, r, e.offset()));
        } else if (event instanceof RouterEvent.RevokeAnswered e) {
            withRequest(e.caller(), r -> mRecovery.onRevokeAnswered(s, r, e.attempt(), e.state()));
        } else if (event instanceof RouterEvent.RevokeFailed e) {
            withRequest(e.caller(), r -> mRecovery.onRevokeFailed(s, r, e.attempt()));
        } else if (event instanceof RouterEvent.ClaimAnswered e) {
            withRequest(e.attempt().request(), r -> mClaimAnswers.onAnswered(s, r, e));
        }
    }

    private void withRequest(long caller, Consumer<ActiveRequest> action) {
        ActiveRequest r = mRequests.byCaller(caller);
        if (r != null) {
            action.accept(r);
        }
    }

    private void onRequestArrived(Step s, long caller, CallerRequest request) {
        Duration wait = mLimits.admit(s.now(), request.account(), request.policy());
        if (!wait.isZero()) {
            String message =
                    "the client account has reached this router's share of its request limit";
            s.emit(new RouterEffect.AnswerError(caller, ResultCode.ACCOUNT_LIMIT, message, wait));
            return;
        }
        long key = request.chat() == 0 ? mRetries.randomChatKey() : request.chat();
        ActiveRequest r = new ActiveRequest(caller, request, s.now(), new ChatKey(key));
        mRequests.add(r);
        mRetries.sendFirst(s, r);
    }

    /**
     * Handles a caller that is gone. A running call that may not be repeated continues: if it were
     * cancelled half way, its outcome would be unknown for good, and the caller may still ask for
     * it again.
     */
    private void onCallerGone(Step s, ActiveRequest r) {
        boolean started =
                r.mPhase != ActiveRequest.Phase.CLAIMING
                        && r.mPhase != ActiveRequest.Phase.BACKING_OFF;
        if (started && !r.mRequest.idempotent()) {
            r.mDetached = true;
            mStreams.onOutputConsumed(s, r, r.mForwardedBytes);
            return;
        }
        if (r.mStream != 0) {
            s.emit(new RouterEffect.CancelAttempt(r.mStream));
        }
        mOutcomes.abandon(s, r, started ? ResultCode.CANCELLED : ResultCode.REVOKED);
    }
}
