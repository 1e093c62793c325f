package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.agreement.AgreementEvent.MessageReceived;
import org.laurelweir.agreement.AgreementReducer;
import org.laurelweir.agreement.ReplicaMessage.AppendRequest;
import org.laurelweir.agreement.Role;

/**
 * Tells whether the settings applied here are the newest accepted ones as of moments ago.
 *
 * <p>A follower on the far side of a partition serves settings that look sound and are hours old.
 * It knows by the leader's silence. A leader without a quorum steps down by itself within its
 * election timeout, so a follower that hears one is behind by two such times at most.
 */
final class Freshness {
    private final AgreementReducer mAgreement;
    private final Duration mFreshFor;
    private Instant mConfirmed = Instant.MIN;
    private long mLeadingSince = Long.MAX_VALUE;

    Freshness(AgreementReducer agreement, Duration freshFor) {
        mAgreement = agreement;
        mFreshFor = freshFor;
    }

    /** Called when the replica has taken a message. */
    void received(Instant now, MessageReceived e) {
        boolean fromLeader = e.from().equals(mAgreement.leader());
        if (fromLeader
                && e.message() instanceof AppendRequest a
                && a.term() == mAgreement.term()
                && a.commitIndex() <= mAgreement.commitIndex()) {
            mConfirmed = now;
        }
    }

    void roleChanged(Role role) {
        mLeadingSince = role == Role.LEADER ? mAgreement.commitIndex() : Long.MAX_VALUE;
    }

    boolean isPossiblyStale(Instant now) {
        if (mAgreement.role() == Role.LEADER) {
            // Until an entry of its own term is committed, a leader may not know of all others.
            return mAgreement.commitIndex() <= mLeadingSince;
        }
        return mConfirmed.equals(Instant.MIN) || mConfirmed.plus(mFreshFor).isBefore(now);
    }
}
