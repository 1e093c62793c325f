package org.laurelweir.consensus;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.laurelweir.consensus.ReplicaMessage.TimeoutNow;

/**
 * Passes a leader's place on before it stops: it takes nothing new, commits what is pending, and
 * asks the voter with the newest log to campaign at once. The others would else wait for an
 * election timeout first.
 */
final class LeadershipTransfer {
    private final ReplicaState mState;
    private final Replication mReplication;
    private final Predicate<ReplicaId> mIsHeard;
    private Instant mEnd;
    private boolean mAsked;

    LeadershipTransfer(ReplicaState state, Replication replication, Predicate<ReplicaId> isHeard) {
        mState = state;
        mReplication = replication;
        mIsHeard = isHeard;
    }

    void begin() {
        mEnd = mState.now().plus(mState.config().electionTimeout());
        mAsked = false;
    }

    boolean isUnderWay() {
        return mEnd != null;
    }

    /** Tells that it is over, if it was under way: another leads, or it took too long. */
    void end() {
        if (isUnderWay()) {
            mEnd = null;
            mState.emit(new ConsensusEffect.LeadershipTransferEnded());
        }
    }

    /** Lets a request be repeated that may be lost, or gives up and goes on leading. */
    void onHeartbeat() {
        mAsked = false;
        if (isUnderWay() && !mState.now().isBefore(mEnd)) {
            end();
        }
    }

    /**
     * Asks the successor once all is committed: a proposal that is still pending when the successor
     * wins could get no better answer than that its outcome is unknown.
     *
     * @param commitIndex the last entry committed
     */
    void advance(long commitIndex) {
        long last = mState.log().lastIndex();
        if (!isUnderWay() || mAsked || commitIndex < last) {
            return;
        }
        Optional<ReplicaId> next = successor();
        if (next.isEmpty()) {
            end();
        } else if (matchIndex(next.get()) == last) {
            mAsked = true;
            mState.send(next.get(), new TimeoutNow(mState.term()));
        }
    }

    private Optional<ReplicaId> successor() {
        return mState.log().membership().voters().stream()
                .filter(v -> !v.equals(mState.self()) && mIsHeard.test(v))
                .max(Comparator.comparingLong(this::matchIndex));
    }

    private long matchIndex(ReplicaId voter) {
        return mReplication.progress(voter).matchIndex();
    }
}
