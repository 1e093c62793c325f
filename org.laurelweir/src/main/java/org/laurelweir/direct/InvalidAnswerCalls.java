package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;

/**
 * Calls whose answers can't be taken, until it shows what becomes of their backend servers. The
 * request goes on without them; closed at once, their connections would not tell a server that ends
 * from one that lives.
 */
final class InvalidAnswerCalls {
    /**
     * Longer than a server that fails under a request takes to end. A server that nobody waits for
     * has to stop its work sooner than half a second after.
     */
    private static final Duration WATCH_TIME = Duration.ofMillis(300);

    private final LoadEstimator mLoads;
    private final CrashGuard mCrashGuard;
    private final RequestDecisions mDecisions;
    private final Long2ObjectHashMap<WatchedCall> mCalls = new Long2ObjectHashMap<>();
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    private record WatchedCall(
            long call, ActiveRequest request, BackendRef backend, Instant expiry) {}

    InvalidAnswerCalls(LoadEstimator loads, CrashGuard guard, RequestDecisions reports) {
        mLoads = loads;
        mCrashGuard = guard;
        mDecisions = reports;
    }

    /** Begins a step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Watches a call that its request has left. */
    void watch(ActiveRequest r, long call) {
        mLoads.onRequestSent(r.mBackend, r.sharedPartId());
        mCalls.put(call, new WatchedCall(call, r, r.mBackend, mNow.plus(WATCH_TIME)));
    }

    /** Returns whether a backend server that spoiled its answer to a request may yet end. */
    boolean isWatched(ActiveRequest r) {
        return mCalls.values().stream().anyMatch(s -> s.request() == r);
    }

    /** The answer is whole: the server has not ended. */
    void onFinished(long call) {
        WatchedCall s = mCalls.get(call);
        if (s != null) {
            cancel(s);
        }
    }

    /** The call has ended without a whole answer. */
    void onFailed(long call, DirectEvent.Failure failure) {
        WatchedCall s = mCalls.get(call);
        if (s == null) {
            return;
        }
        remove(s);
        if (failure == DirectEvent.Failure.CONNECTION_LOST) {
            mEffects.accept(mDecisions.crashedAfterInvalidHead(s.request(), s.backend(), mNow));
            mCrashGuard.onConnectionLost(s.request(), s.backend(), mNow);
        }
    }

    /** The request was served elsewhere: it ends no server, and its other calls are of no use. */
    void onServed(ActiveRequest r) {
        List<WatchedCall> own = mCalls.values().stream().filter(s -> s.request() == r).toList();
        own.forEach(this::cancel);
    }

    /** Closes the connections of servers that have not ended in time. */
    void cancelExpired() {
        if (!mCalls.isEmpty()) {
            List<WatchedCall> due =
                    mCalls.values().stream().filter(s -> !mNow.isBefore(s.expiry())).toList();
            due.forEach(this::cancel);
        }
    }

    private void cancel(WatchedCall s) {
        remove(s);
        mEffects.accept(new DirectEffect.CancelCall(s.call()));
    }

    private void remove(WatchedCall s) {
        mCalls.remove(s.call());
        mLoads.onRequestEnded(s.backend(), s.request().sharedPartId());
    }
}
