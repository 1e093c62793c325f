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

    private final BackendSource mSource;
    private final ServerTable mServers = new ServerTable();
    private final LoadEstimator mLoads;
    private final ServerChoice mChoice;
    private final PartHolders mHolders = new PartHolders();
    private final FleetBudget mBudget;
    private final Attempts mAttempts;
    private final Reports mReports;
    private final ErrorAnswers mErrors;
    private final Stalls mStalls = new Stalls();
    private final CrashGuard mGuard;
    private final SpoiledCalls mSpoiled;
    private final SplittableRandom mRandom;
    private final Long2ObjectHashMap<ActiveCall> mByCaller = new Long2ObjectHashMap<>();
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
        mSource = source;
        mLoads = loads;
        mGuard = new CrashGuard(crashes);
        mChoice = new ServerChoice(source, mServers, loads, seed);
        mBudget = new FleetBudget(limits, routers);
        mRandom = new SplittableRandom(seed + 1);
        mReports = new Reports();
        mSpoiled = new SpoiledCalls(loads, mGuard, mReports);
        FetchSource fetches = new FetchSource(source, mServers, mHolders);
        mAttempts = new Attempts(source, loads, mChoice, fetches, mBudget, mReports);
        mErrors = new ErrorAnswers(mChoice, mAttempts, mReports, new Refusals(seed + 2));
    }

    /** Returns whether no request is under way. */
    public boolean isIdle() {
        return mByCaller.isEmpty();
    }

    @Override
    public void step(Instant now, DirectEvent event, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
        mAttempts.enter(now, effects);
        mErrors.enter(now, effects);
        mSpoiled.enter(now, effects);
        if (event instanceof DirectEvent.Tick) {
            onTick();
        } else if (event instanceof DirectEvent.Arrived e) {
            onArrived(e);
        } else if (event instanceof DirectEvent.CallerGone e) {
            withRequest(mByCaller.get(e.caller()), this::onCallerGone);
        } else if (event instanceof DirectEvent.HeadReceived e) {
            withRequest(mAttempts.byCall(e.call()), r -> onAnswered(r, e));
        } else if (event instanceof DirectEvent.DataReceived e) {
            withRequest(mAttempts.byCall(e.call()), r -> onReceived(r, e.bytes()));
        } else if (event instanceof DirectEvent.Finished e) {
            mSpoiled.finished(e.call());
            withRequest(mAttempts.byCall(e.call()), this::onFinished);
        } else if (event instanceof DirectEvent.Failed e) {
            mSpoiled.failed(e.call(), e.failure());
            withRequest(mAttempts.byCall(e.call()), r -> onFailed(r, e));
        }
    }

    private static void withRequest(ActiveCall r, Consumer<ActiveCall> action) {
        if (r != null) {
            action.accept(r);
        }
    }

    private void emit(DirectEffect effect) {
        mEffects.accept(effect);
    }

    private void onArrived(DirectEvent.Arrived e) {
        String service = chooseService(e.request().route());
        ActiveCall r = new ActiveCall(e.caller(), e.request(), service, mNow);
        mByCaller.put(e.caller(), r);
        mBudget.onRequest(service, mNow);
        if (mGuard.bars(r, mNow)) {
            end(r, mErrors::quarantined);
        } else if (!mAttempts.next(r)) {
            end(r, c -> mErrors.refused(c, "no backend server has room"));
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

    private void onAnswered(ActiveCall r, DirectEvent.HeadReceived e) {
        r.mHeard = mNow;
        e.facts().load().ifPresent(l -> loadTold(r.mBackend, l));
        if (e.facts().notRun()) {
            onNotRun(r, e);
            return;
        }
        if (!e.facts().genuine()) {
            onSpoiled(r);
            return;
        }
        mGuard.answered(r, mNow);
        r.mAnswered = true;
        r.mStatus = e.status();
        r.mHeaders = e.headers();
        if (isFailure(e.status())) {
            onFailureStatus(r);
        } else {
            mServers.succeeded(r.mService, r.mBackend);
            noteHolder(r);
            beginStream(r);
        }
    }

    private void loadTold(BackendRef backend, AnswerMetadata.ReportedLoad load) {
        mServers.slotsTold(backend, load.slots());
        mLoads.heard(mNow, backend, load.running() + load.waiting());
    }

    /**
     * The answer is nobody's. Its server may be about to end, of which the next one would know
     * nothing: only one more gets the request before that is told.
     */
    private void onSpoiled(ActiveCall r) {
        boolean harmless = !mSpoiled.isWatched(r) && !mGuard.isSuspect(r);
        long call = r.mCall;
        mAttempts.leave(r);
        mSpoiled.watch(r, call);
        serverFailed(r);
        afterUnknown(r, harmless, "the answer belongs to another request, or to none");
    }

    private void noteHolder(ActiveCall r) {
        if (r.mRequest.prompt().isPresent()) {
            mHolders.read(r.mRequest.prompt().sharedPart().id(), r.mBackend);
        }
    }

    private void beginStream(ActiveCall r) {
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
    private void onFailureStatus(ActiveCall r) {
        serverFailed(r);
        r.mMayHaveRun = true;
        if (r.route().isRepeatable()) {
            mAttempts.moveOn(r);
        }
    }

    private void serverFailed(ActiveCall r) {
        mServers.failed(r.mService, r.mBackend, mChoice.size(r.mService), mNow);
    }

    /** The server says that it did not run the request and will not. */
    private void onNotRun(ActiveCall r, DirectEvent.HeadReceived e) {
        if (e.facts().misdirected()) {
            mServers.replaced(r.mBackend, mNow);
        } else {
            mServers.full(r.mBackend, mNow);
        }
        emit(mReports.said(r, "not_run_" + e.status(), mNow));
        mAttempts.cancel(r);
        r.mMisdirected = e.facts().misdirected();
        if (!mAttempts.next(r)) {
            end(r, c -> mErrors.gaveUp(c, "the backend servers did not take the request"));
        }
    }

    private void onReceived(ActiveCall r, byte[] bytes) {
        r.mHeard = mNow;
        if (!r.isStreaming()) {
            r.mBody.writeBytes(bytes);
            return;
        }
        byte[] events = r.mFramer.add(bytes);
        if (events.length > 0 && !r.mDetached) {
            emit(new DirectEffect.AnswerData(r.mCaller, events));
        }
    }

    private void onFinished(ActiveCall r) {
        mAttempts.leave(r);
        if (r.isStreaming()) {
            byte[] rest = r.mFramer.takeRest();
            if (rest.length > 0) {
                emitIfWanted(r, new DirectEffect.AnswerData(r.mCaller, rest));
            }
            emitIfWanted(r, new DirectEffect.AnswerEnd(r.mCaller));
        } else if (r.mHeadSent) {
            end(r, c -> mErrors.failed(c, "the stream could not be resumed"));
            return;
        } else {
            emitIfWanted(
                    r,
                    new DirectEffect.AnswerWhole(
                            r.mCaller, r.mStatus, r.mHeaders, r.mBody.toByteArray()));
        }
        emit(mReports.answered(r, mNow));
        if (!isFailure(r.mStatus)) {
            mGuard.served(r, mNow);
            mSpoiled.served(r);
        }
        mByCaller.remove(r.mCaller);
    }

    private void emitIfWanted(ActiveCall r, DirectEffect effect) {
        if (!r.mDetached) {
            emit(effect);
        }
    }

    private void onFailed(ActiveCall r, DirectEvent.Failed e) {
        mAttempts.leave(r);
        if (e.failure() != DirectEvent.Failure.NOT_SENT) {
            serverFailed(r);
            boolean lost = e.failure() == DirectEvent.Failure.CONNECTION_LOST;
            afterUnknown(r, !lost || mGuard.lost(r, r.mBackend, mNow), e.message());
            return;
        }
        mServers.unreachable(r.mService, r.mBackend, mChoice.size(r.mService), mNow);
        // It never arrived, so that it does not count as sent.
        r.mArrivals--;
        emit(mReports.said(r, "not_sent", mNow));
        if (!mAttempts.next(r)) {
            end(r, c -> mErrors.gaveUp(c, e.message()));
        }
    }

    /**
     * The server may have run the request: it is repeated only where that is harmless.
     *
     * @param harmless whether it is to the next server; to the caller it is by the route
     */
    private void afterUnknown(ActiveCall r, boolean harmless, String message) {
        r.mMayHaveRun = true;
        emit(mReports.outcomeUnknown(r, message, mNow));
        if (harmless && r.route().isRepeatable() && mAttempts.next(r)) {
            return;
        }
        end(r, c -> mErrors.failed(c, message));
    }

    /** Ends a request whose caller gets an error. */
    private void end(ActiveCall r, Consumer<ActiveCall> tell) {
        tell.accept(r);
        mByCaller.remove(r.mCaller);
    }

    /**
     * Ends what nobody waits for. A plain call that may not be repeated is left to finish: stopped
     * half way, nobody would ever learn its outcome.
     */
    private void onCallerGone(ActiveCall r) {
        emit(mReports.said(r, "caller_gone", mNow));
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
        List<ActiveCall> all = new ArrayList<>(mByCaller.values());
        all.forEach(this::check);
        mSpoiled.check();
        if (!mNow.isBefore(mNextPrune)) {
            mNextPrune = mNow.plus(PRUNE_INTERVAL);
            mServers.prune(mSource);
        }
    }

    private void check(ActiveCall r) {
        if (!mNow.isBefore(r.mDeadline)) {
            expire(r);
        } else if (mStalls.isStalled(r, mNow) && !r.mDetached) {
            onStalled(r);
        }
    }

    private void expire(ActiveCall r) {
        if (!r.mAnswered && r.mCall != 0) {
            serverFailed(r);
        }
        end(r, mErrors::expired);
    }

    /** Tries another server; where nobody else takes it, a late answer is better than none. */
    private void onStalled(ActiveCall r) {
        emit(mReports.stalled(r, mNow));
        serverFailed(r);
        r.mMayHaveRun = true;
        if (!mAttempts.moveOn(r)) {
            r.mHeard = mNow;
        }
    }
}
