package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.hedging.WithholdReason;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;

/**
 * Starts, switches and cancels the calls to backend servers, and finds the request of each call.
 *
 * <p>Every call counts in the load estimates from its start to its end.
 */
final class Attempts {
    /** An attempt needs at least this long for a round trip and some work. */
    static final Duration MIN_TIME_LEFT = Duration.ofMillis(40);

    /**
     * Maximum number of misdirected calls after which a request is sent on. More in a row mean that
     * the membership is out of date.
     */
    private static final int MAX_MISDIRECTED = 4;

    private final BackendSource mBackends;
    private final LoadEstimator mLoads;
    private final SlowStartLimiter mSlowStarts;
    private final ServerChoice mChoice;
    private final FetchSource mFetchSource;
    private final FleetRetryBudget mBudget;
    private final CrashGuard mCrashGuard;
    private final RequestDecisions mDecisions;
    private final ContendedCalls mContended;
    private final SecondCalls mSeconds;
    private final Long2ObjectHashMap<ActiveRequest> mByCall = new Long2ObjectHashMap<>();
    private long mLastCall;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    Attempts(
            BackendSource backends,
            LoadEstimator loads,
            SlowStartLimiter slowStarts,
            ServerChoice choice,
            FetchSource fetchSource,
            FleetRetryBudget budget,
            CrashGuard crashGuard,
            RequestDecisions decisions,
            ContendedCalls contended,
            SecondCalls seconds) {
        mBackends = backends;
        mLoads = loads;
        mSlowStarts = slowStarts;
        mChoice = choice;
        mFetchSource = fetchSource;
        mBudget = budget;
        mCrashGuard = crashGuard;
        mDecisions = decisions;
        mContended = contended;
        mSeconds = seconds;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Returns the request of a call, or null if the call has ended. */
    ActiveRequest requestOf(long call) {
        return mByCall.get(call);
    }

    /**
     * Sends the request to a backend server that has not been tried yet. If a hedged request has a
     * second call open, that becomes the current one instead.
     *
     * @return whether it was sent; false if its body was dropped, if too little time or no attempt
     *     is left, if no server is available, if the retry budget is used up, or if it was
     *     quarantined since its first call
     */
    boolean startNext(ActiveRequest r) {
        if (continueWithSecond(r)) {
            return true;
        }
        if (r.mBodyDropped
                || !hasTime(r, mNow)
                || r.mAttemptCount >= r.route().maxAttempts()
                || r.mMisdirectedCount > MAX_MISDIRECTED) {
            return false;
        }
        boolean isRetry = r.mAttemptCount + r.mMisdirectedCount > 0;
        if (isRetry && mCrashGuard.isQuarantined(r)) {
            return false;
        }
        Optional<ServerChoice.Choice> choice = mChoice.choose(r, mNow);
        if (choice.isEmpty()) {
            return false;
        }
        Backend backend = mBackends.backend(choice.get().server().id());
        if (backend == null || (isRetry && !mBudget.trySpend(r.mService, mNow))) {
            return false;
        }
        start(r, backend, choice.get());
        return true;
    }

    /** Returns whether enough time is left for an attempt. */
    static boolean hasTime(ActiveRequest r, Instant now) {
        return r.timeLeft(now).compareTo(MIN_TIME_LEFT) >= 0;
    }

    private void start(ActiveRequest r, Backend backend, ServerChoice.Choice choice) {
        r.startCall(++mLastCall, backend, mNow);
        r.mAttemptCount++;
        mByCall.put(r.mCall, r);
        mLoads.onRequestSent(backend.ref(), r.sharedPartId());
        mSlowStarts.onRequestSent(mNow, backend.ref());
        mContended.onSent(r, choice, mNow);
        String fetchFrom = mFetchSource.addressFor(r, backend.ref(), mNow);
        mEffects.accept(mDecisions.serverChosen(r, choice, fetchFrom, mNow));
        mEffects.accept(
                new DirectEffect.BeginCall(
                        r.mCall,
                        backend.ref(),
                        backend.address(),
                        r.mRequest,
                        r.timeLeft(mNow),
                        r.mHeadSent ? r.mFramer.lastId() : "",
                        fetchFrom));
        if (r.mCallerBlocked) {
            mEffects.accept(new DirectEffect.PauseCall(r.mCall, true));
        }
    }

    /**
     * Sends a copy of the request to a second server, while the current call continues.
     *
     * @return why it was not sent, or empty if it was
     */
    Optional<WithholdReason> startSecond(ActiveRequest r) {
        if (r.timeLeft(mNow).compareTo(MIN_TIME_LEFT) < 0) {
            return Optional.of(WithholdReason.TOO_LATE);
        }
        r.mIsWarmOnly = true;
        Optional<ServerChoice.Choice> choice = mChoice.choose(r, mNow);
        r.mIsWarmOnly = false;
        Backend backend = choice.map(c -> mBackends.backend(c.server().id())).orElse(null);
        if (backend == null) {
            return Optional.of(WithholdReason.NO_SERVER);
        }
        if (!mBudget.trySpend(r.mService, mNow)) {
            return Optional.of(WithholdReason.RETRIES_USED);
        }
        SecondCall second = new SecondCall(++mLastCall, backend, mNow);
        mEffects.accept(mDecisions.hedgeSent(r, choice.get(), mNow));
        mSlowStarts.onRequestSent(mNow, backend.ref());
        mSeconds.start(r, second, choice.get(), fetchSourceForSecond(r, backend));
        return Optional.empty();
    }

    /** Returns where a copy fetches cached parts: not from the server that is slow to answer. */
    private String fetchSourceForSecond(ActiveRequest r, Backend chosen) {
        String address = mFetchSource.addressFor(r, chosen.ref(), mNow);
        Backend first = mBackends.backend(r.mBackend.id());
        return first != null && first.address().equals(address) ? "" : address;
    }

    /** Makes the second call of a request the current one, and cancels the first. */
    void switchToSecond(ActiveRequest r) {
        long first = r.mCall;
        end(r);
        continueWithSecond(r);
        mEffects.accept(new DirectEffect.CancelCall(first));
    }

    /** Makes the second call of a request without a first one the current call, if it is open. */
    private boolean continueWithSecond(ActiveRequest r) {
        if (!mSeconds.makeCurrent(r)) {
            return false;
        }
        mByCall.put(r.mCall, r);
        return true;
    }

    /**
     * Sends the request to another server and cancels the current call. The current call continues
     * if the request cannot be sent to another server.
     *
     * @return whether the request was sent to another server
     */
    boolean switchServer(ActiveRequest r) {
        long call = r.mCall;
        end(r);
        if (startNext(r)) {
            mEffects.accept(new DirectEffect.CancelCall(call));
            return true;
        }
        r.mCall = call;
        mByCall.put(call, r);
        mLoads.onRequestSent(r.mBackend, r.sharedPartId());
        mContended.onContinued(r, mNow);
        return false;
    }

    /** Ends the current call, if any, without an effect. Later events of the call are ignored. */
    void end(ActiveRequest r) {
        if (r.mCall != 0) {
            mByCall.remove(r.mCall);
            mLoads.onRequestEnded(r.mBackend, r.sharedPartId());
            mContended.onEnded(r, mNow);
            r.mCall = 0;
        }
    }

    /** Cancels the current call, if any. */
    void cancel(ActiveRequest r) {
        if (r.mCall != 0) {
            mEffects.accept(new DirectEffect.CancelCall(r.mCall));
            end(r);
        }
    }
}
