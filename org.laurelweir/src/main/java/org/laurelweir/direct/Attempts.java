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
    private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(40);

    private final BackendSource mSource;
    private final LoadEstimator mLoads;
    private final ServerChoice mChoice;
    private final FetchSource mFetches;
    private final FleetBudget mBudget;
    private final Reports mReports;
    private final Long2ObjectHashMap<ActiveCall> mByCall = new Long2ObjectHashMap<>();
    private long mLastCall;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    Attempts(
            BackendSource source,
            LoadEstimator loads,
            ServerChoice choice,
            FetchSource fetches,
            FleetBudget budget,
            Reports reports) {
        mSource = source;
        mLoads = loads;
        mChoice = choice;
        mFetches = fetches;
        mBudget = budget;
        mReports = reports;
    }

    /** Begins a step of the reducer. */
    void enter(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Returns the request that a call is made for, or null where the call is over. */
    ActiveCall byCall(long call) {
        return mByCall.get(call);
    }

    /**
     * Sends the request to a server that has not had it, if there is one and a repeat is due.
     *
     * @return whether it was sent
     */
    boolean next(ActiveCall r) {
        boolean inTime = r.timeLeft(mNow).compareTo(LEAST_TIME_LEFT) >= 0;
        if (!inTime || r.mArrivals >= r.route().maxAttempts()) {
            return false;
        }
        Optional<ServerChoice.Chosen> chosen = mChoice.choose(r, mNow);
        if (chosen.isEmpty()) {
            return false;
        }
        Backend backend = mSource.backend(chosen.get().server().id());
        if (backend == null || (r.mArrivals > 0 && !mBudget.spend(r.mService, mNow))) {
            return false;
        }
        begin(r, backend, chosen.get());
        return true;
    }

    private void begin(ActiveCall r, Backend backend, ServerChoice.Chosen chosen) {
        r.begin(++mLastCall, backend.ref(), mNow);
        r.mArrivals++;
        mByCall.put(r.mCall, r);
        mLoads.began(backend.ref(), r.part());
        String fetchFrom = mFetches.addressFor(r, backend.ref(), mNow);
        mEffects.accept(mReports.chose(r, chosen, fetchFrom, mNow));
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
    boolean moveOn(ActiveCall r) {
        long call = r.mCall;
        leave(r);
        if (next(r)) {
            mEffects.accept(new DirectEffect.CancelCall(call));
            return true;
        }
        r.mCall = call;
        mByCall.put(call, r);
        mLoads.began(r.mBackend, r.part());
        return false;
    }

    /** The present call is over; events that still come from it belong to no request. */
    void leave(ActiveCall r) {
        if (r.mCall != 0) {
            mByCall.remove(r.mCall);
            mLoads.ended(r.mBackend, r.part());
            r.mCall = 0;
        }
    }

    /** Ends the present call, if there is one. */
    void cancel(ActiveCall r) {
        if (r.mCall != 0) {
            mEffects.accept(new DirectEffect.CancelCall(r.mCall));
            leave(r);
        }
    }
}
