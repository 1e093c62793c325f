package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadEstimator;

/**
 * Watches calls whose answers are invalid, to find out whether their backend servers crash. The
 * request continues without these calls. Their connections stay open for a while: if they were
 * closed at once, the router could not tell a crashed server from a live one.
 */
final class InvalidAnswerCalls {
    /**
     * How long a call is watched. This is longer than a server takes to crash under a request, and
     * short enough for the rule that a server has to abort a request within half a second after its
     * caller has given up.
     */
    private static final Duration WATCH_TIME = Duration.ofMillis(300);

    private final LoadEstimator mLoads;
    private final CrashGuard mCrashGuard;
    private final UnconfirmedEnds mUnconfirmedEnds;
    private final RequestDecisions mDecisions;
    private final Long2ObjectHashMap<WatchedCall> mCalls = new Long2ObjectHashMap<>();
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    /** A call with its request and backend server, watched until it expires. */
    private record WatchedCall(
            long call,
            ActiveRequest request,
            BackendRef backend,
            BodyFraming framing,
            Instant expiry) {}

    InvalidAnswerCalls(
            LoadEstimator loads,
            CrashGuard crashGuard,
            UnconfirmedEnds unconfirmedEnds,
            RequestDecisions decisions) {
        mLoads = loads;
        mCrashGuard = crashGuard;
        mUnconfirmedEnds = unconfirmedEnds;
        mDecisions = decisions;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Starts to watch a call that no longer belongs to its request. */
    void watch(ActiveRequest r, long call, BackendRef server, BodyFraming framing) {
        mLoads.onRequestSent(server, r.sharedPartId());
        mCalls.put(call, new WatchedCall(call, r, server, framing, mNow.plus(WATCH_TIME)));
    }

    /** Returns whether any call of a request is watched. */
    boolean isWatched(ActiveRequest r) {
        return mCalls.values().stream().anyMatch(w -> w.request() == r);
    }

    /** Handles a complete answer: the server has not crashed, if it told the end of the answer. */
    void onFinished(long call) {
        WatchedCall w = mCalls.get(call);
        if (w == null) {
            return;
        }
        cancel(w);
        if (!w.framing().provesEnd()) {
            mUnconfirmedEnds.onInvalidAnswerEnded(w.request(), w.backend());
        }
    }

    /** Handles a call without a complete answer; a lost connection counts as a crash. */
    void onFailed(long call, DirectEvent.Failure failure) {
        WatchedCall w = mCalls.get(call);
        if (w == null) {
            return;
        }
        remove(w);
        if (failure == DirectEvent.Failure.CONNECTION_LOST) {
            mEffects.accept(mDecisions.crashedAfterInvalidHead(w.request(), w.backend(), mNow));
            mCrashGuard.onConnectionLost(w.request(), w.backend(), mNow);
        }
    }

    /** Cancels the calls of a request that another server served: it does not cause crashes. */
    void onServed(ActiveRequest r) {
        List<WatchedCall> calls = mCalls.values().stream().filter(w -> w.request() == r).toList();
        calls.forEach(this::cancel);
    }

    /** Cancels the calls whose servers have not crashed within the watch time. */
    void cancelExpired() {
        if (!mCalls.isEmpty()) {
            List<WatchedCall> expired =
                    mCalls.values().stream().filter(w -> !mNow.isBefore(w.expiry())).toList();
            expired.forEach(this::cancel);
        }
    }

    private void cancel(WatchedCall w) {
        remove(w);
        mEffects.accept(new DirectEffect.CancelCall(w.call()));
    }

    private void remove(WatchedCall w) {
        mCalls.remove(w.call());
        mLoads.onRequestEnded(w.backend(), w.request().sharedPartId());
    }
}
