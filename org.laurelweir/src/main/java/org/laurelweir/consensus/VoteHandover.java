package org.laurelweir.consensus;

/**
 * Gives up the vote of a replica that stops soon. It says so in its replies to the leader, which
 * then replaces it by a spare. So a planned stop leaves as many voters running as before it.
 */
final class VoteHandover {
    private final ReplicaState mState;
    private final Applier mApplier;
    private boolean mIsReported;

    VoteHandover(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
    }

    void begin() {
        mState.setLeaving();
    }

    /** Reports the end of the handover, once. */
    void advance() {
        if (mState.isLeaving() && !mIsReported && (!hasVote() || !hasSpare())) {
            mIsReported = true;
            mState.emit(new ConsensusEffect.VoteHandedOver());
        }
    }

    /**
     * Returns whether this replica may still be needed for a quorum. It is until the membership
     * without it is committed: the others could lose an uncommitted one.
     */
    private boolean hasVote() {
        boolean isCommitted = mState.log().membershipIndex() <= mApplier.commitIndex();
        return mState.isVoter() || !isCommitted;
    }

    private boolean hasSpare() {
        Membership members = mState.log().membership();
        return members.isJoint() || members.learners().stream().anyMatch(ReplicaId::isDurable);
    }
}
