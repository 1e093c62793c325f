package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Reducer;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.quarantine.CrashTable;

/**
 * Decides for requests that are routed without sidecars: the router itself chooses the backend
 * server, follows its answer and repeats what may be repeated.
 */
public final class DirectRouting implements Reducer<DirectEvent, DirectEffect> {
    /** How often requests in flight are looked at; what they are held to is ten times as long. */
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(10);

    private static final Duration PRUNE_INTERVAL = Duration.ofSeconds(30);

    private final BackendSource mBackends;
    private final ServerTable mServers = new ServerTable();
    private final LoadEstimator mLoads;
    private final ServerChoice mChoice;
    private final PartHolders mHolders = new PartHolders();
    private final FleetRetryBudget mBudget;
    private final Attempts mAttempts;
    private final RequestDecisions mDecisions;
    private final ErrorAnswers mErrorAnswers;
    private final StallDetector mStallDetector = new StallDetector();
    private final CrashGuard mCrashGuard;
    private final InvalidAnswerCalls mInvalidAnswers;
    private final SplittableRandom mRandom;
    private final Long2ObjectHashMap<ActiveRequest> mByCaller = new Long2ObjectHashMap<>();
    private Instant mNextScan = Instant.MIN;
    private Instant mNextPrune = Instant.MIN;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /**
     * Creates the routing of a router that has just started.
     *
     * @param source the backend servers as the router knows them
     * @param routers how many routers serve, 0 if not known
     * @param limits what the fleet may repeat
     * @param crashes under which requests backend servers ended
     * @param loads what is believed of the backend servers' load
     * @param seed of random choices
     */
    public DirectRouting(
            BackendSource source,
            IntSupplier routers,
            RetryLimits limits,
            CrashTable crashes,
            LoadEstimator loads,
            long seed) {
        mBackends = source;
        mLoads = loads;
        mCrashGuard = new CrashGuard(crashes);
        mChoice = new ServerChoice(source, mServers, loads, seed);
        mBudget = new FleetRetryBudget(limits, routers);
        mRandom = new SplittableRandom(seed + 1);
        mDecisions = new RequestDecisions();
        mInvalidAnswers = new InvalidAnswerCalls(loads, mCrashGuard, mDecisions);
        FetchSource fetches = new FetchSource(source, mServers, mHolders);
        mAttempts = new Attempts(source, loads, mChoice, fetches, mBudget, mDecisions);
        mErrorAnswers = new ErrorAnswers(mChoice, mAttempts, mDecisions, new RetryDelays(seed + 2));
    }

    /** Returns whether no request is under way. */
    public boolean isIdle() {
        return mByCaller.isEmpty();
    }

    @Override
    public void step(Instant now, DirectEvent event, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
        mAttempts.beginStep(now, effects);
        mErrorAnswers.beginStep(now, effects);
        mInvalidAnswers.beginStep(now, effects);
        if (event instanceof DirectEvent.Tick) {
            onTick();
        } else if (event instanceof DirectEvent.Arrived e) {
            onArrived(e);
        } else if (event instanceof DirectEvent.CallerGone e) {
            withRequest(mByCaller.get(e.caller()), this::onCallerGone);
        } else if (event instanceof DirectEvent.HeadReceived e) {
            withRequest(mAttempts.byCall(e.call()), r -> onHeadReceived(r, e));
        } else if (event instanceof DirectEvent.DataReceived e) {
            withRequest(mAttempts.byCall(e.call()), r -> onDataReceived(r, e.bytes()));
        } else if (event instanceof DirectEvent.Finished e) {
            mInvalidAnswers.onFinished(e.call());
            withRequest(mAttempts.byCall(e.call()), this::onFinished);
        } else if (event instanceof DirectEvent.Failed e) {
            mInvalidAnswers.onFailed(e.call(), e.failure());
            withRequest(mAttempts.byCall(e.call()), r -> onFailed(r, e));
        }
    }

    private static void withRequest(ActiveRequest r, Consumer<ActiveRequest> action) {
        if (r != null) {
            action.accept(r);
        }
    }

    private void emit(DirectEffect effect) {
        mEffects.accept(effect);
    }

    private void onArrived(DirectEvent.Arrived e) {
        String service = chooseService(e.request().route());
        ActiveRequest r = new ActiveRequest(e.caller(), e.request(), service, mNow);
        mByCaller.put(e.caller(), r);
        mBudget.onRequest(service, mNow);
        if (mCrashGuard.shouldReject(r, mNow)) {
            end(r, mErrorAnswers::quarantined);
        } else if (!mAttempts.startNext(r)) {
            end(r, c -> mErrorAnswers.rejected(c, "no backend server has room"));
        }
    }

    private String chooseService(Route route) {
        double sum = route.shares().stream().mapToDouble(s -> s.weight()).sum();
        double at = mRandom.nextDouble() * sum;
        for (var share : route.shares()) {
            at -= share.weight();
            if (at < 0) {
                return share.service();
            }
        }
        return route.shares().get(route.shares().size() - 1).service();
    }

    private void onHeadReceived(ActiveRequest r, DirectEvent.HeadReceived e) {
        r.mLastActivity = mNow;
        e.facts().load().ifPresent(l -> onReportedLoad(r.mBackend, l));
        if (e.facts().notRun()) {
            onNotRun(r, e);
            return;
        }
        if (!e.facts().genuine()) {
            onInvalidAnswer(r);
            return;
        }
        mCrashGuard.onHeadReceived(r, mNow);
        r.mHeadReceived = true;
        r.mStatus = e.status();
        r.mHeaders = e.headers();
        if (isFailure(e.status())) {
            onFailureStatus(r);
        } else {
            mServers.onSuccess(r.mService, r.mBackend);
            recordHolder(r);
            beginStream(r);
        }
    }

    private void onReportedLoad(BackendRef backend, AnswerMetadata.ReportedLoad load) {
        mServers.onReportedSlots(backend, load.slots());
        mLoads.onReportedLoad(mNow, backend, load.running() + load.waiting());
    }

    /**
     * The answer is nobody's. Its server may be about to end, of which the next one would know
     * nothing: only one more gets the request before that is told.
     */
    private void onInvalidAnswer(ActiveRequest r) {
        boolean harmless = !mInvalidAnswers.isWatched(r) && !mCrashGuard.isSuspect(r);
        long call = r.mCall;
        mAttempts.end(r);
        mInvalidAnswers.watch(r, call);
        recordServerFailure(r);
        onUnknownOutcome(r, harmless, "the answer belongs to another request, or to none");
    }

    private void recordHolder(ActiveRequest r) {
        if (r.mRequest.prompt().isPresent()) {
            mHolders.recordHolder(r.mRequest.prompt().sharedPart().id(), r.mBackend);
        }
    }

    private void beginStream(ActiveRequest r) {
        if (!r.isStreaming() || r.mHeadSent) {
            return;
        }
        r.mHeadSent = true;
        if (!r.mDetached) {
            emit(new DirectEffect.AnswerHead(r.mCaller, r.mStatus, r.mHeaders));
        }
    }

    private static boolean isFailure(int status) {
        return status >= 500;
    }

    /**
     * The server ran the request and failed: another may do better where that is harmless. Where
     * nobody else takes it, the server's own answer is passed on after all.
     */
    private void onFailureStatus(ActiveRequest r) {
        recordServerFailure(r);
        r.mMayHaveRun = true;
        if (r.route().isRepeatable()) {
            mAttempts.switchServer(r);
        }
    }

    private void recordServerFailure(ActiveRequest r) {
        mServers.onFailure(r.mService, r.mBackend, mChoice.servingCount(r.mService), mNow);
    }

    /** The server says that it did not run the request and will not. */
    private void onNotRun(ActiveRequest r, DirectEvent.HeadReceived e) {
        if (e.facts().misdirected()) {
            mServers.onReplaced(r.mBackend, mNow);
        } else {
            mServers.onFull(r.mBackend, mNow);
        }
        emit(mDecisions.ofReason(r, "not_run_" + e.status(), mNow));
        mAttempts.cancel(r);
        r.mMisdirected = e.facts().misdirected();
        if (!mAttempts.startNext(r)) {
            end(
                    r,
                    c ->
                            mErrorAnswers.noServerAccepts(
                                    c, "the backend servers did not take the request"));
        }
    }

    private void onDataReceived(ActiveRequest r, byte[] bytes) {
        r.mLastActivity = mNow;
        if (!r.isStreaming()) {
            r.mBody.writeBytes(bytes);
            return;
        }
        byte[] events = r.mFramer.add(bytes);
        if (events.length > 0 && !r.mDetached) {
            emit(new DirectEffect.AnswerData(r.mCaller, events));
        }
    }

    private void onFinished(ActiveRequest r) {
        mAttempts.end(r);
        if (r.isStreaming()) {
            byte[] rest = r.mFramer.takeIncomplete();
            if (rest.length > 0) {
                emitUnlessDetached(r, new DirectEffect.AnswerData(r.mCaller, rest));
            }
            emitUnlessDetached(r, new DirectEffect.AnswerEnd(r.mCaller));
        } else if (r.mHeadSent) {
            end(r, c -> mErrorAnswers.failed(c, "the stream could not be resumed"));
            return;
        } else {
            emitUnlessDetached(
                    r,
                    new DirectEffect.AnswerWhole(
                            r.mCaller, r.mStatus, r.mHeaders, r.mBody.toByteArray()));
        }
        emit(mDecisions.answered(r, mNow));
        if (!isFailure(r.mStatus)) {
            mCrashGuard.onServed(r, mNow);
            mInvalidAnswers.onServed(r);
        }
        mByCaller.remove(r.mCaller);
    }

    private void emitUnlessDetached(ActiveRequest r, DirectEffect effect) {
        if (!r.mDetached) {
            emit(effect);
        }
    }

    private void onFailed(ActiveRequest r, DirectEvent.Failed e) {
        mAttempts.end(r);
        if (e.failure() != DirectEvent.Failure.NOT_SENT) {
            recordServerFailure(r);
            boolean lost = e.failure() == DirectEvent.Failure.CONNECTION_LOST;
            onUnknownOutcome(
                    r, !lost || mCrashGuard.onConnectionLost(r, r.mBackend, mNow), e.message());
            return;
        }
        mServers.onUnreachable(r.mService, r.mBackend, mChoice.servingCount(r.mService), mNow);
        // It never arrived, so that it does not count as sent.
        r.mAttempts--;
        emit(mDecisions.ofReason(r, "not_sent", mNow));
        if (!mAttempts.startNext(r)) {
            end(r, c -> mErrorAnswers.noServerAccepts(c, e.message()));
        }
    }

    /**
     * The server may have run the request: it is repeated only where that is harmless.
     *
     * @param harmless whether it is to the next server; to the caller it is by the route
     */
    private void onUnknownOutcome(ActiveRequest r, boolean harmless, String message) {
        r.mMayHaveRun = true;
        emit(mDecisions.outcomeUnknown(r, message, mNow));
        if (harmless && r.route().isRepeatable() && mAttempts.startNext(r)) {
            return;
        }
        end(r, c -> mErrorAnswers.failed(c, message));
    }

    /** Ends a request whose caller gets an error. */
    private void end(ActiveRequest r, Consumer<ActiveRequest> tell) {
        tell.accept(r);
        mByCaller.remove(r.mCaller);
    }

    /**
     * Ends what nobody waits for. A plain call that may not be repeated is left to finish: stopped
     * half way, nobody would ever learn its outcome.
     */
    private void onCallerGone(ActiveRequest r) {
        emit(mDecisions.ofReason(r, "caller_gone", mNow));
        if (r.mCall != 0 && !r.route().streamed() && !r.route().idempotent()) {
            r.mDetached = true;
            return;
        }
        mAttempts.cancel(r);
        mByCaller.remove(r.mCaller);
    }

    private void onTick() {
        if (mNow.isBefore(mNextScan)) {
            return;
        }
        mNextScan = mNow.plus(SCAN_INTERVAL);
        List<ActiveRequest> all = new ArrayList<>(mByCaller.values());
        all.forEach(this::checkTimeouts);
        mInvalidAnswers.cancelExpired();
        if (!mNow.isBefore(mNextPrune)) {
            mNextPrune = mNow.plus(PRUNE_INTERVAL);
            mServers.prune(mBackends);
        }
    }

    private void checkTimeouts(ActiveRequest r) {
        if (!mNow.isBefore(r.mDeadline)) {
            expire(r);
        } else if (mStallDetector.isStalled(r, mNow) && !r.mDetached) {
            onStalled(r);
        }
    }

    private void expire(ActiveRequest r) {
        if (!r.mHeadReceived && r.mCall != 0) {
            recordServerFailure(r);
        }
        end(r, mErrorAnswers::expired);
    }

    /** Tries another server; where nobody else takes it, a late answer is better than none. */
    private void onStalled(ActiveRequest r) {
        emit(mDecisions.stalled(r, mNow));
        recordServerFailure(r);
        r.mMayHaveRun = true;
        if (!mAttempts.switchServer(r)) {
            r.mLastActivity = mNow;
        }
    }
}
