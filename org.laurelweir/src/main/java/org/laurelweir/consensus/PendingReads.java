package org.laurelweir.consensus;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.ReadReady;
import org.laurelweir.consensus.ConsensusEffect.ReadRejected;
import org.laurelweir.lib.ResultCode;

/**
 * Serves reads by read index: a read is ready once a quorum has answered a contact round begun
 * after it. A leader that was replaced without knowing it gets no such answer, so it can't show a
 * state older than what its successor has accepted; no clock has to be trusted for that. Reads that
 * come during a round share the next one.
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
     * Ends the round under way if a quorum has answered it, and begins the next.
     *
     * @param termCommitted whether an entry of this term is committed; before that a leader does
     *     not know all that its predecessors have committed
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
        Membership membership = mState.log().membership();
        long answers =
                membership.voters().stream()
                        .filter(v -> v.equals(mState.self()) || hasAnswered(v))
                        .count();
        return answers >= membership.quorum();
    }

    private boolean hasAnswered(ReplicaId voter) {
        FollowerProgress p = mReplication.progress(voter);
        return p != null && p.answeredRound() >= mRound;
    }

    /** Ends what is pending. */
    void rejectAll() {
        mInRound.addAll(mWaiting);
        mWaiting.clear();
        for (long id : mInRound) {
            mState.emit(new ReadRejected(id, ResultCode.NOT_LEADER, mState.leader()));
        }
        mInRound.clear();
    }
}
