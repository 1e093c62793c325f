package org.laurelweir.consensus;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.laurelweir.consensus.ReplicaMessage.TimeoutNow;

/**
 * Transfers leadership before a leader stops. The leader rejects new proposals, commits the pending
 * ones, and asks the voter with the most up-to-date log to campaign at once. Without a transfer the
 * other voters would first wait for an election timeout.
 */
final class LeadershipTransfer {
    private final ReplicaState mState;
    private final Replication mReplication;
    private final Predicate<ReplicaId> mIsInContact;
    private boolean mIsRequested;
    private Instant mDeadline;
    private boolean mIsRequestSent;

    LeadershipTransfer(
            ReplicaState state, Replication replication, Predicate<ReplicaId> isInContact) {
        mState = state;
        mReplication = replication;
        mIsInContact = isInContact;
    }

    /** Begins a transfer whose end is reported, because this replica is about to stop. */
    void beginRequested() {
        mIsRequested = true;
        begin();
    }

    void begin() {
        mDeadline = mState.now().plus(mState.config().electionTimeout());
        mIsRequestSent = false;
    }

    boolean isInProgress() {
        return mDeadline != null;
    }

    /**
     * Ends a transfer in progress, and reports it if it was requested: this replica stops leading,
     * there is no successor, or the transfer timed out.
     */
    void end() {
        if (isInProgress()) {
            mDeadline = null;
            if (mIsRequested) {
                mState.emit(new ConsensusEffect.LeadershipTransferEnded());
            }
        }
    }

    /**
     * Allows the request to the successor to be sent again, as it may be lost. After the deadline,
     * ends the transfer and keeps leading.
     */
    void onHeartbeat() {
        mIsRequestSent = false;
        if (isInProgress() && !mState.now().isBefore(mDeadline)) {
            end();
        }
    }

    /**
     * Asks the successor to campaign once all entries are committed. A proposal that is still
     * pending when the successor wins could only be answered with OUTCOME_UNKNOWN.
     *
     * @param commitIndex the index of the last committed entry
     */
    void advance(long commitIndex) {
        long lastIndex = mState.log().lastIndex();
        if (!isInProgress() || mIsRequestSent || commitIndex < lastIndex) {
            return;
        }
        Optional<ReplicaId> successor = successor();
        if (successor.isEmpty()) {
            end();
        } else if (matchIndex(successor.get()) == lastIndex) {
            mIsRequestSent = true;
            mState.send(successor.get(), new TimeoutNow(mState.term()));
        }
    }

    private Optional<ReplicaId> successor() {
        return mState.log().membership().voters().stream()
                .filter(v -> !v.equals(mState.self()) && mIsInContact.test(v))
                .filter(v -> !mReplication.progress(v).isLeaving())
                .max(Comparator.comparingLong(this::matchIndex));
    }

    private long matchIndex(ReplicaId voter) {
        return mReplication.progress(voter).matchIndex();
    }
}
