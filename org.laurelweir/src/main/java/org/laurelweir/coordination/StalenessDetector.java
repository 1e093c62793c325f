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
final class StalenessDetector {
    private final ConsensusReducer mConsensus;
    private final Duration mStaleAfter;
    private Instant mLastConfirmed = Instant.MIN;
    private Instant mUnconfirmedContact;
    private long mUnconfirmedCommitIndex;
    private long mCommitIndexAtElection = Long.MAX_VALUE;

    StalenessDetector(ConsensusReducer agreement, Duration freshFor) {
        mConsensus = agreement;
        mStaleAfter = freshFor;
    }

    /** Called when the replica has taken a message. */
    void onMessage(Instant now, MessageReceived e) {
        boolean fromLeader = e.from().equals(mConsensus.leader());
        if (fromLeader
                && mUnconfirmedContact == null
                && e.message() instanceof AppendRequest a
                && a.term() == mConsensus.term()) {
            mUnconfirmedContact = now;
            mUnconfirmedCommitIndex = a.commitIndex();
        }
        confirm();
    }

    /**
     * What the leader had committed when it was heard is applied here. Waiting for that same
     * message, rather than looking at the newest one only, keeps a follower that is always a little
     * behind under load from being called stale.
     */
    private void confirm() {
        if (mUnconfirmedContact != null && mUnconfirmedCommitIndex <= mConsensus.commitIndex()) {
            mLastConfirmed = mUnconfirmedContact;
            mUnconfirmedContact = null;
        }
    }

    void onRoleChanged(Role role) {
        mUnconfirmedContact = null;
        mCommitIndexAtElection = role == Role.LEADER ? mConsensus.commitIndex() : Long.MAX_VALUE;
    }

    boolean isPossiblyStale(Instant now) {
        if (mConsensus.role() == Role.LEADER) {
            // Until an entry of its own term is committed, a leader may not know of all others.
            return mConsensus.commitIndex() <= mCommitIndexAtElection;
        }
        confirm();
        return mLastConfirmed.equals(Instant.MIN) || mLastConfirmed.plus(mStaleAfter).isBefore(now);
    }
}
