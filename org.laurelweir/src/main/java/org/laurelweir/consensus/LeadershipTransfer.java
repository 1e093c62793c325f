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
    private final Predicate<ReplicaId> mIsInContact;
    private Instant mDeadline;
    private boolean mIsRequestSent;

    LeadershipTransfer(ReplicaState state, Replication replication, Predicate<ReplicaId> isHeard) {
        mState = state;
        mReplication = replication;
        mIsInContact = isHeard;
    }

    void begin() {
        mDeadline = mState.now().plus(mState.config().electionTimeout());
        mIsRequestSent = false;
    }

    boolean isInProgress() {
        return mDeadline != null;
    }

    /** Tells that it is over, if it was under way: another leads, or it took too long. */
    void end() {
        if (isInProgress()) {
            mDeadline = null;
            mState.emit(new ConsensusEffect.LeadershipTransferEnded());
        }
    }

    /** Lets a request be repeated that may be lost, or gives up and goes on leading. */
    void onHeartbeat() {
        mIsRequestSent = false;
        if (isInProgress() && !mState.now().isBefore(mDeadline)) {
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
        if (!isInProgress() || mIsRequestSent || commitIndex < last) {
            return;
        }
        Optional<ReplicaId> next = successor();
        if (next.isEmpty()) {
            end();
        } else if (matchIndex(next.get()) == last) {
            mIsRequestSent = true;
            mState.send(next.get(), new TimeoutNow(mState.term()));
        }
    }

    private Optional<ReplicaId> successor() {
        return mState.log().membership().voters().stream()
                .filter(v -> !v.equals(mState.self()) && mIsInContact.test(v))
                .max(Comparator.comparingLong(this::matchIndex));
    }

    private long matchIndex(ReplicaId voter) {
        return mReplication.progress(voter).matchIndex();
    }
}
