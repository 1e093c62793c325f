package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;

/**
 * The calls to backend servers that are under way: chooses who gets the next one, and ends them.
 */
final class Attempts {
    /** Below this a further attempt can't bring an answer any more: a round trip and some work. */
    private static final Duration MIN_TIME_LEFT = Duration.ofMillis(40);

    private final BackendSource mBackends;
    private final LoadEstimator mLoads;
    private final ServerChoice mChoice;
    private final FetchSource mFetchSource;
    private final FleetRetryBudget mBudget;
    private final RequestDecisions mDecisions;
    private final Long2ObjectHashMap<ActiveRequest> mByCall = new Long2ObjectHashMap<>();
    private long mLastCall;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    Attempts(
            BackendSource source,
            LoadEstimator loads,
            ServerChoice choice,
            FetchSource fetches,
            FleetRetryBudget budget,
            RequestDecisions reports) {
        mBackends = source;
        mLoads = loads;
        mChoice = choice;
        mFetchSource = fetches;
        mBudget = budget;
        mDecisions = reports;
    }

    /** Begins a step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Returns the request that a call is made for, or null where the call is over. */
    ActiveRequest byCall(long call) {
        return mByCall.get(call);
    }

    /**
     * Sends the request to a server that has not had it, if there is one and a repeat is due.
     *
     * @return whether it was sent
     */
    boolean startNext(ActiveRequest r) {
        boolean inTime = r.timeLeft(mNow).compareTo(MIN_TIME_LEFT) >= 0;
        if (!inTime || r.mAttempts >= r.route().maxAttempts()) {
            return false;
        }
        Optional<ServerChoice.Choice> chosen = mChoice.choose(r, mNow);
        if (chosen.isEmpty()) {
            return false;
        }
        Backend backend = mBackends.backend(chosen.get().server().id());
        if (backend == null || (r.mAttempts > 0 && !mBudget.trySpend(r.mService, mNow))) {
            return false;
        }
        start(r, backend, chosen.get());
        return true;
    }

    private void start(ActiveRequest r, Backend backend, ServerChoice.Choice chosen) {
        r.startCall(++mLastCall, backend.ref(), mNow);
        r.mAttempts++;
        mByCall.put(r.mCall, r);
        mLoads.onRequestSent(backend.ref(), r.sharedPartId());
        String fetchFrom = mFetchSource.addressFor(r, backend.ref(), mNow);
        mEffects.accept(mDecisions.serverChosen(r, chosen, fetchFrom, mNow));
        mEffects.accept(
                new DirectEffect.BeginCall(
                        r.mCall,
                        backend.ref(),
                        backend.address(),
                        r.mRequest,
                        r.timeLeft(mNow),
                        r.mHeadSent ? r.mFramer.lastId() : "",
                        fetchFrom));
    }

    /**
     * Sends the request to another server and ends the present call; the call goes on where no
     * other server takes the request.
     *
     * @return whether another one took it
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
        return false;
    }

    /** The present call is over; events that still come from it belong to no request. */
    void end(ActiveRequest r) {
        if (r.mCall != 0) {
            mByCall.remove(r.mCall);
            mLoads.onRequestEnded(r.mBackend, r.sharedPartId());
            r.mCall = 0;
        }
    }

    /** Ends the present call, if there is one. */
    void cancel(ActiveRequest r) {
        if (r.mCall != 0) {
            mEffects.accept(new DirectEffect.CancelCall(r.mCall));
            end(r);
        }
    }
}
