package org.laurelweir.direct;

import java.time.Instant;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.hedging.HedgeCounts;
import org.laurelweir.load.LoadEstimator;

/**
 * Starts and ends the second calls of hedged requests. A request has at most one, and only until
 * the head of an answer. Like every call, it counts in the load estimates and in the demand from
 * its start to its end.
 */
final class SecondCalls {
    private final LoadEstimator mLoads;
    private final RequestDecisions mDecisions;
    private final ContendedCalls mContended;
    private final HedgeCounts mCounts = new HedgeCounts();
    private final Long2ObjectHashMap<ActiveRequest> mByCall = new Long2ObjectHashMap<>();
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    SecondCalls(LoadEstimator loads, RequestDecisions decisions, ContendedCalls contended) {
        mLoads = loads;
        mDecisions = decisions;
        mContended = contended;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    HedgeCounts counts() {
        return mCounts;
    }

    /** Returns the request whose second call has a number, or null if there is none. */
    ActiveRequest requestOf(long call) {
        return mByCall.get(call);
    }

    /**
     * Sends a copy of a request.
     *
     * @param choice the choice of its backend server
     * @param fetchFrom address of a backend server that holds parts of the prompt, or empty
     */
    void start(ActiveRequest r, SecondCall second, ServerChoice.Choice choice, String fetchFrom) {
        r.mSecond = second;
        r.mTriedServers.add(second.backend().ref().id());
        r.mAttemptCount++;
        mByCall.put(second.call(), r);
        mLoads.onRequestSent(second.backend().ref(), r.sharedPartId());
        mContended.onSent(r, second.call(), second.backend().ref(), choice, mNow);
        mCounts.onSent();
        mEffects.accept(
                new DirectEffect.BeginCall(
                        second.call(),
                        second.backend().ref(),
                        second.backend().address(),
                        r.mRequest,
                        r.timeLeft(mNow),
                        "",
                        fetchFrom));
    }

    /**
     * Makes the second call of a request the current one, in place of one that has ended.
     *
     * @return whether a second call was open
     */
    boolean makeCurrent(ActiveRequest r) {
        SecondCall second = r.mSecond;
        if (second == null) {
            return false;
        }
        remove(r);
        r.startCall(second.call(), second.backend(), second.start());
        mCounts.onWon();
        mEffects.accept(mDecisions.withReason(r, "hedge_won", mNow));
        if (r.mCallerBlocked) {
            mEffects.accept(new DirectEffect.PauseCall(r.mCall, true));
        }
        return true;
    }

    /** Cancels the second call of a request, if it is open, and releases its load. */
    void cancel(ActiveRequest r, String why) {
        if (r.mSecond != null) {
            mEffects.accept(new DirectEffect.CancelCall(r.mSecond.call()));
            mCounts.onCancelled();
            end(r, why);
        }
    }

    /** Ends an open second call that failed, without an effect on the call. */
    void fail(ActiveRequest r, String why) {
        mCounts.onFailed();
        end(r, why);
    }

    private void end(ActiveRequest r, String why) {
        mEffects.accept(mDecisions.hedgeLost(r, r.mSecond.backend().ref(), why, mNow));
        mLoads.onRequestEnded(r.mSecond.backend().ref(), r.sharedPartId());
        mContended.onEnded(r, r.mSecond.call(), mNow);
        remove(r);
    }

    private void remove(ActiveRequest r) {
        mByCall.remove(r.mSecond.call());
        r.mSecond = null;
    }
}
