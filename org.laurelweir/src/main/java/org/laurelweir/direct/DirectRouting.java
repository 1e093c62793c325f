package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.contention.FleetDemand;
import org.laurelweir.hedging.HedgeCounts;
import org.laurelweir.lib.Reducer;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.quarantine.CrashTable;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamOrigins;
import org.laurelweir.waiting.WaitingCounts;

/**
 * Routes requests to backend servers that have no sidecar: the router chooses the backend server,
 * forwards its answer, and retries the request where the route permits it.
 */
public final class DirectRouting implements Reducer<DirectEvent, DirectEffect> {
    /**
     * Interval of the checks for deadlines and stalls. The times that are checked are ten times as
     * long or longer.
     */
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(10);

    private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(30);

    /** Maximum number of streams whose origin this router remembers. */
    private static final int MAX_OWN_ORIGINS = 10_000;

    private final BackendSource mBackends;
    private final ServerTable mServers = new ServerTable();
    private final Attempts mAttempts;
    private final RequestDecisions mDecisions;
    private final WaitingRequests mWaiting;
    private final ErrorAnswers mErrorAnswers;
    private final StallDetector mStallDetector = new StallDetector();
    private final CrashGuard mCrashGuard;
    private final UnconfirmedEnds mUnconfirmedEnds;
    private final InvalidAnswerCalls mInvalidAnswers;
    private final Hedges mHedges;
    private final Outcomes mOutcomes;
    private final NoticeHandler mNotices;
    private final AnswerMemory mAnswerMemory;
    private final OriginRecorder mOriginRecorder;
    private final OriginLookup mOriginLookup;
    private final RequestExplainer mExplainer;
    private final Arrivals mArrivals;
    private final Answers mAnswers;
    private final Long2ObjectHashMap<ActiveRequest> mByCaller = new Long2ObjectHashMap<>();
    private Instant mNextScan = Instant.MIN;
    private Instant mNextPrune = Instant.MIN;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * Creates the routing without any request, for a deployment without contention.
     *
     * @param backends the backend servers that the router knows
     * @param routerCount supplies the number of routers in the fleet, 1 if unknown
     * @param limits limits of the retries of all routers
     * @param crashes the crashes of backend servers and the requests that were running then
     * @param loads the estimated loads of the backend servers
     * @param slowStarts limits the requests to backend servers in slow start
     * @param answerLimits limits of the answers that the router holds
     * @param seed seed of the random choices
     */
    public DirectRouting(
            BackendSource backends,
            IntSupplier routerCount,
            RetryLimits limits,
            CrashTable crashes,
            LoadEstimator loads,
            SlowStartLimiter slowStarts,
            AnswerLimits answerLimits,
            long seed) {
        this(
                backends,
                routerCount,
                limits,
                crashes,
                loads,
                slowStarts,
                answerLimits,
                seed,
                new FleetDemand(),
                0);
    }

    /**
     * Creates the routing without any request.
     *
     * @param backends the backend servers that the router knows
     * @param routerCount supplies the number of routers in the fleet, 1 if unknown
     * @param limits limits of the retries of all routers
     * @param crashes the crashes of backend servers and the requests that were running then
     * @param loads the estimated loads of the backend servers
     * @param slowStarts limits the requests to backend servers in slow start
     * @param answerLimits limits of the answers that the router holds
     * @param seed seed of the random choices
     * @param demand the demand of all routers, for deployments with contention
     * @param hedgeShare maximum number of hedged requests, as a share of a service's requests
     */
    public DirectRouting(
            BackendSource backends,
            IntSupplier routerCount,
            RetryLimits limits,
            CrashTable crashes,
            LoadEstimator loads,
            SlowStartLimiter slowStarts,
            AnswerLimits answerLimits,
            long seed,
            FleetDemand demand,
            double hedgeShare) {
        mBackends = backends;
        mNotices = new NoticeHandler(backends, mServers);
        mAnswerMemory = new AnswerMemory(answerLimits);
        mCrashGuard = new CrashGuard(crashes);
        PartHolders holders = new PartHolders();
        ServingHistory history = new ServingHistory(backends);
        ContendedCalls contended = new ContendedCalls(backends, mServers, holders, demand);
        ServerChoice choice =
                new ServerChoice(backends, mServers, loads, slowStarts, contended, seed);
        FleetRetryBudget budget = new FleetRetryBudget(limits, routerCount);
        mExplainer = new RequestExplainer(backends, mServers, loads, choice, mCrashGuard, demand);
        mDecisions = new RequestDecisions();
        mUnconfirmedEnds = new UnconfirmedEnds(backends, mServers, mCrashGuard, mDecisions);
        mInvalidAnswers = new InvalidAnswerCalls(loads, mCrashGuard, mUnconfirmedEnds, mDecisions);
        mOutcomes =
                new Outcomes(
                        mServers,
                        choice,
                        loads,
                        holders,
                        mCrashGuard,
                        mUnconfirmedEnds,
                        mInvalidAnswers,
                        contended);
        FetchSource fetchSource = new FetchSource(backends, mServers, holders, history);
        SecondCalls seconds = new SecondCalls(loads, mDecisions, contended);
        mAttempts =
                new Attempts(
                        backends,
                        loads,
                        slowStarts,
                        choice,
                        fetchSource,
                        budget,
                        mCrashGuard,
                        mDecisions,
                        contended,
                        seconds);
        mWaiting = waitingRequests(demand, choice, seed + 3);
        mErrorAnswers =
                new ErrorAnswers(
                        choice,
                        mAttempts,
                        mDecisions,
                        new RetryDelays(seed + 2),
                        mWaiting::returnDelay);
        mHedges =
                new Hedges(
                        hedgeShare,
                        (now, service, server) -> contended.slowness(server, now),
                        seconds,
                        mAttempts,
                        choice,
                        loads,
                        demand,
                        mOutcomes,
                        mCrashGuard,
                        mInvalidAnswers,
                        mDecisions);
        StreamOrigins origins = new StreamOrigins(MAX_OWN_ORIGINS);
        mOriginRecorder = new OriginRecorder(backends, origins, mDecisions, this::onWrongVersion);
        mOriginLookup = new OriginLookup(origins, mDecisions, this::onOrigin);
        RequestEnds ends = requestEnds();
        mArrivals = arrivals(budget, ends, seed + 1);
        mAnswers = answers(ends);
    }

    /** Creates the waiting requests. They call the arrivals, which are created after them. */
    private WaitingRequests waitingRequests(FleetDemand demand, ServerChoice choice, long seed) {
        return new WaitingRequests(
                demand,
                choice,
                mDecisions,
                r -> mArrivals.startContended(r),
                (r, message) -> mArrivals.refuse(r, message),
                seed);
    }

    private Arrivals arrivals(FleetRetryBudget budget, RequestEnds ends, long seed) {
        return new Arrivals(
                budget,
                mAttempts,
                mDecisions,
                mCrashGuard,
                mErrorAnswers,
                mWaiting,
                mHedges,
                mOriginLookup,
                ends,
                seed);
    }

    private Answers answers(RequestEnds ends) {
        return new Answers(
                mAttempts,
                mDecisions,
                mOutcomes,
                mErrorAnswers,
                mCrashGuard,
                mInvalidAnswers,
                mHedges,
                mAnswerMemory,
                mOriginRecorder,
                ends);
    }

    private RequestEnds requestEnds() {
        return new RequestEnds() {
            @Override
            public void end(ActiveRequest r, Consumer<ActiveRequest> errorAnswer) {
                DirectRouting.this.end(r, errorAnswer);
            }

            @Override
            public void remove(ActiveRequest r) {
                DirectRouting.this.remove(r);
            }
        };
    }

    private void onOrigin(ActiveRequest r, Optional<StreamOrigin> origin) {
        mArrivals.onOrigin(r, origin);
    }

    /** Returns whether no request is in flight. */
    public boolean isIdle() {
        return mByCaller.isEmpty();
    }

    /** Returns the numbers of requests that wait until a backend server has room. */
    public WaitingCounts waitingCounts() {
        return mWaiting.counts();
    }

    /** Returns the counts of hedged requests. */
    public HedgeCounts hedgeCounts() {
        return mHedges.counts();
    }

    /** Returns the counts of what backend servers said of themselves in answers. */
    public NoticeCounts noticeCounts() {
        return mNotices.counts();
    }

    @Override
    public void step(Instant now, DirectEvent event, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
        mAttempts.beginStep(now, effects);
        mWaiting.beginStep(now, effects);
        mArrivals.beginStep(now, effects);
        mAnswers.beginStep(now, effects);
        mHedges.beginStep(now, effects);
        mErrorAnswers.beginStep(now, effects);
        mInvalidAnswers.beginStep(now, effects);
        mUnconfirmedEnds.beginStep(now, effects);
        mOutcomes.beginStep(now);
        mNotices.beginStep(now, effects);
        mOriginRecorder.beginStep(now, effects);
        mOriginLookup.beginStep(now, effects);
        if (event instanceof DirectEvent.Tick) {
            onTick();
        } else if (event instanceof DirectEvent.RequestArrived e) {
            onArrived(e);
        } else if (event instanceof DirectEvent.CallerGone e) {
            withRequest(mByCaller.get(e.caller()), this::onCallerGone);
        } else if (event instanceof DirectEvent.CallerBlocked e) {
            withRequest(mByCaller.get(e.caller()), r -> onCallerBlocked(r, e.blocked()));
        } else if (event instanceof DirectEvent.ServerNoticed e) {
            mNotices.onNoticed(e);
        } else if (event instanceof DirectEvent.HeadReceived e) {
            mHedges.onHead(e);
            withRequest(mAttempts.requestOf(e.call()), r -> mAnswers.onHeadReceived(r, e));
        } else if (event instanceof DirectEvent.DataReceived e) {
            withRequest(mAttempts.requestOf(e.call()), r -> mAnswers.onDataReceived(r, e.bytes()));
        } else if (event instanceof DirectEvent.Finished e) {
            mInvalidAnswers.onFinished(e.call());
            withRequest(mAttempts.requestOf(e.call()), mAnswers::onFinished);
        } else if (event instanceof DirectEvent.Failed e) {
            mInvalidAnswers.onFailed(e.call(), e.failure());
            mHedges.onFailed(e);
            withRequest(mAttempts.requestOf(e.call()), r -> mAnswers.onFailed(r, e));
        } else if (event instanceof DirectEvent.BackendChecked e) {
            mUnconfirmedEnds.onChecked(e.check(), e.result());
        } else if (event instanceof DirectEvent.StreamRecorded e) {
            mOriginRecorder.onRecorded(e);
        } else if (event instanceof DirectEvent.StreamFound e) {
            mOriginLookup.onFound(e);
        } else if (event instanceof DirectEvent.ExplanationRequested e) {
            emit(new DirectEffect.Explain(e.query(), mExplainer.explain(e.request(), mNow)));
        }
        mWaiting.endStep();
    }

    private static void withRequest(ActiveRequest r, Consumer<ActiveRequest> action) {
        if (r != null) {
            action.accept(r);
        }
    }

    private void emit(DirectEffect effect) {
        mEffects.accept(effect);
    }

    private void onArrived(DirectEvent.RequestArrived e) {
        String service = mArrivals.chooseService(e.request().route());
        ActiveRequest r = new ActiveRequest(e.caller(), e.request(), service, mNow);
        mByCaller.put(e.caller(), r);
        mArrivals.onArrived(r);
    }

    private void onCallerBlocked(ActiveRequest r, boolean blocked) {
        r.mCallerBlocked = blocked;
        r.mLastActivity = mNow;
        if (r.mCall != 0) {
            emit(new DirectEffect.PauseCall(r.mCall, blocked));
        }
    }

    private void remove(ActiveRequest r) {
        mByCaller.remove(r.mCaller);
        mHedges.onEnded(r);
        mAnswerMemory.onEnded(r);
        mWaiting.onEnded(r);
    }

    /** Ends a request with an error answer. */
    private void end(ActiveRequest r, Consumer<ActiveRequest> errorAnswer) {
        mOriginRecorder.release(r);
        mOriginRecorder.forget(r);
        mOriginLookup.cancel(r);
        errorAnswer.accept(r);
        remove(r);
    }

    /**
     * Ends a request whose caller has disconnected. A non-idempotent call without a stream is left
     * to finish: if it were cancelled half way, its outcome would stay unknown.
     */
    private void onCallerGone(ActiveRequest r) {
        emit(mDecisions.withReason(r, "caller_gone", mNow));
        if (r.mCall != 0 && !r.route().streamed() && !r.route().idempotent()) {
            r.mDetached = true;
            r.dropBody();
            return;
        }
        mAttempts.cancel(r);
        mOriginRecorder.forget(r);
        mOriginLookup.cancel(r);
        remove(r);
    }

    private void onTick() {
        if (mNow.isBefore(mNextScan)) {
            return;
        }
        mNextScan = mNow.plus(SCAN_INTERVAL);
        mNotices.onTick();
        mWaiting.onTick();
        new ArrayList<>(mByCaller.values()).forEach(mOriginRecorder::checkRun);
        new ArrayList<>(mByCaller.values()).forEach(this::checkTimeouts);
        mHedges.onTick(mByCaller.values());
        mInvalidAnswers.cancelExpired();
        mUnconfirmedEnds.onTick();
        mOriginRecorder.onTick();
        if (!mNow.isBefore(mNextPrune)) {
            mNextPrune = mNow.plus(PRUNE_INTERVAL);
            mServers.prune(mBackends, mNow);
            mOriginLookup.prune();
        }
    }

    /** Handles a stream that goes on at another version than the one that began it. */
    private void onWrongVersion(ActiveRequest r) {
        if (mByCaller.get(r.mCaller) == r) {
            mAnswers.onWrongVersion(r);
        }
    }

    private void checkTimeouts(ActiveRequest r) {
        if (!mNow.isBefore(r.mDeadline)) {
            expire(r);
        } else if (mStallDetector.isStalled(r, mNow) && !r.mDetached && !r.mCallerBlocked) {
            onStalled(r);
        }
    }

    private void expire(ActiveRequest r) {
        if (r.mLookup != 0) {
            end(r, c -> mErrorAnswers.unknownStream(c, "control did not answer in time"));
            return;
        }
        if (!r.mHeadReceived && r.mCall != 0) {
            mOutcomes.onFailure(r);
        }
        end(r, mErrorAnswers::expired);
    }

    /** Tries another server. If none accepts the request, the current call continues. */
    private void onStalled(ActiveRequest r) {
        emit(mDecisions.stalled(r, mNow));
        mOutcomes.onFailure(r);
        r.mMayHaveRun = true;
        if (!mAttempts.switchServer(r)) {
            r.mLastActivity = mNow;
        }
    }
}
