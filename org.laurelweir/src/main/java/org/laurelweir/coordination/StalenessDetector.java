package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.ConsensusReducer;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.consensus.Role;

/**
 * Detects whether the settings applied on this instance may be stale, that is, whether newer
 * settings may have been accepted more than a short time ago.
 *
 * <p>A follower that is partitioned from the quorum could serve settings that look valid but are
 * hours old. It detects that by the silence of the leader. A leader without a quorum steps down
 * within its election timeout, so a follower in contact with a leader is stale by at most two
 * election timeouts.
 */
final class StalenessDetector {
    private final ConsensusReducer mConsensus;
    private final Duration mStaleAfter;
    private Instant mLastConfirmed = Instant.MIN;
    private Instant mUnconfirmedContact;
    private long mUnconfirmedCommitIndex;
    private long mCommitIndexAtElection = Long.MAX_VALUE;

    StalenessDetector(ConsensusReducer consensus, Duration staleAfter) {
        mConsensus = consensus;
        mStaleAfter = staleAfter;
    }

    /** Handles a message after the replica has processed it. */
    void onMessage(Instant now, MessageReceived e) {
        boolean isFromLeader = e.from().equals(mConsensus.leader());
        if (isFromLeader
                && mUnconfirmedContact == null
                && e.message() instanceof AppendRequest a
                && a.term() == mConsensus.term()) {
            mUnconfirmedContact = now;
            mUnconfirmedCommitIndex = a.commitIndex();
        }
        confirm();
    }

    /**
     * Confirms the last recorded contact with the leader once this instance has applied the
     * leader's commit index of that contact. Later messages do not replace the recorded contact
     * before it is confirmed. Otherwise a follower that always lags slightly under load would count
     * as stale.
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
            // Until an entry of its own term is committed, a leader may not know all committed
            // entries.
            return mConsensus.commitIndex() <= mCommitIndexAtElection;
        }
        confirm();
        return mLastConfirmed.equals(Instant.MIN) || mLastConfirmed.plus(mStaleAfter).isBefore(now);
    }
}
