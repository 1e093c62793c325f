package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.ConsensusReducer;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.consensus.Role;

/**
 * Tells whether the settings applied here are the newest accepted ones as of moments ago.
 *
 * <p>A follower on the far side of a partition serves settings that look sound and are hours old.
 * It knows by the leader's silence. A leader without a quorum steps down by itself within its
 * election timeout, so a follower that hears one is behind by two such times at most.
 */
final class Freshness {
    private final ConsensusReducer mAgreement;
    private final Duration mFreshFor;
    private Instant mConfirmed = Instant.MIN;
    private Instant mHeard;
    private long mHeardCommit;
    private long mLeadingSince = Long.MAX_VALUE;

    Freshness(ConsensusReducer agreement, Duration freshFor) {
        mAgreement = agreement;
        mFreshFor = freshFor;
    }

    /** Called when the replica has taken a message. */
    void received(Instant now, MessageReceived e) {
        boolean fromLeader = e.from().equals(mAgreement.leader());
        if (fromLeader
                && mHeard == null
                && e.message() instanceof AppendRequest a
                && a.term() == mAgreement.term()) {
            mHeard = now;
            mHeardCommit = a.commitIndex();
        }
        confirm();
    }

    /**
     * What the leader had committed when it was heard is applied here. Waiting for that same
     * message, rather than looking at the newest one only, keeps a follower that is always a little
     * behind under load from being called stale.
     */
    private void confirm() {
        if (mHeard != null && mHeardCommit <= mAgreement.commitIndex()) {
            mConfirmed = mHeard;
            mHeard = null;
        }
    }

    void roleChanged(Role role) {
        mHeard = null;
        mLeadingSince = role == Role.LEADER ? mAgreement.commitIndex() : Long.MAX_VALUE;
    }

    boolean isPossiblyStale(Instant now) {
        if (mAgreement.role() == Role.LEADER) {
            // Until an entry of its own term is committed, a leader may not know of all others.
            return mAgreement.commitIndex() <= mLeadingSince;
        }
        confirm();
        return mConfirmed.equals(Instant.MIN) || mConfirmed.plus(mFreshFor).isBefore(now);
    }
}
