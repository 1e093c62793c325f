package org.laurelweir.consensus;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.ReadReady;
import org.laurelweir.consensus.ConsensusEffect.ReadRejected;
import org.laurelweir.lib.ResultCode;

/**
 * Serves linearizable reads by read index. A read is ready once a quorum has answered a contact
 * round that was started after the read was requested. A leader that was replaced without knowing
 * it gets no quorum of answers, so it can't serve a state older than what its successor has
 * accepted. This does not depend on clocks. Reads that are requested during a round share the next
 * one.
 */
final class PendingReads {
    private final ReplicaState mState;
    private final Applier mApplier;
    private final Replication mReplication;
    private List<Long> mWaiting = new ArrayList<>();
    private List<Long> mInRound = new ArrayList<>();
    private long mRound;

    PendingReads(ReplicaState state, Applier applier, Replication replication) {
        mState = state;
        mApplier = applier;
        mReplication = replication;
    }

    void add(long readId) {
        mWaiting.add(readId);
    }

    /**
     * Completes the current round if a quorum has answered it, and starts the next one.
     *
     * @param termCommitted whether an entry of the current term is committed; before that, a leader
     *     does not know all entries that its predecessors have committed
     */
    void advance(boolean termCommitted) {
        if (!mInRound.isEmpty() && isRoundAnswered()) {
            mInRound.forEach(id -> mState.emit(new ReadReady(id, mApplier.commitIndex())));
            mInRound = new ArrayList<>();
        }
        if (mInRound.isEmpty() && !mWaiting.isEmpty() && termCommitted) {
            mInRound = mWaiting;
            mWaiting = new ArrayList<>();
            mRound = mReplication.startRound();
            if (isRoundAnswered()) {
                advance(true);
            }
        }
    }

    private boolean isRoundAnswered() {
        return mState.log().membership().hasQuorum(this::hasAnswered);
    }

    private boolean hasAnswered(ReplicaId voter) {
        if (voter.equals(mState.self())) {
            return true;
        }
        FollowerProgress p = mReplication.progress(voter);
        return p != null && p.answeredRound() >= mRound;
    }

    /** Rejects all pending reads. */
    void rejectAll() {
        mInRound.addAll(mWaiting);
        mWaiting.clear();
        for (long id : mInRound) {
            mState.emit(new ReadRejected(id, ResultCode.NOT_LEADER, mState.leader()));
        }
        mInRound.clear();
    }
}
