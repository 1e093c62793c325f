package org.laurelweir.coordination;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.laurelweir.consensus.ReplicaId;

/**
 * Tells which voters have lost their disks: an instance of the same name has reported another disk
 * since it is known that they vote. An earlier report may be of the disk that they replaced.
 */
final class LostDisks {
    private final ReplicaId mSelf;
    private final PeerStatuses mPeerStatuses;
    private final Map<ReplicaId, Instant> mVoterSince = new HashMap<>();

    LostDisks(ReplicaId self, PeerStatuses peerStatuses) {
        mSelf = self;
        mPeerStatuses = peerStatuses;
    }

    /** Sets the replicas that are known to vote. */
    void update(Instant now, Set<ReplicaId> voters) {
        mVoterSince.keySet().retainAll(voters);
        voters.forEach(v -> mVoterSince.putIfAbsent(v, now));
    }

    boolean contains(ReplicaId voter) {
        if (voter.name().equals(mSelf.name())) {
            return !voter.equals(mSelf);
        }
        Instant since = mVoterSince.get(voter);
        return since != null
                && mPeerStatuses
                        .replicaReportedSince(voter.name(), since)
                        .filter(r -> !r.equals(voter))
                        .isPresent();
    }
}
