package org.laurelweir.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * What an instance without a leader knows of the quorum.
 *
 * @param members the membership by which it judges
 * @param otherMemberships the memberships that other instances report and that may be newer
 * @param heard the replicas that it hears, itself included
 * @param lost the voters that are known to have lost their disks
 * @param reportedLeader another instance that reports that it leads
 */
record QuorumView(
        Membership members,
        List<Membership> otherMemberships,
        Set<ReplicaId> heard,
        Predicate<ReplicaId> lost,
        Optional<ReplicaId> reportedLeader) {

    /** What an instance without a leader can tell of the quorum. */
    enum Verdict {
        /** There is a leader or a quorum is heard, but this instance receives no log from it. */
        NO_LEADER,

        /** Too few voters are heard; those that are silent may return. */
        QUORUM_MISSING,

        /** So many voters have lost their disks that no quorum can return. */
        QUORUM_LOST
    }

    /**
     * Returns the verdict. A quorum counts as lost only if no known membership can have one again,
     * since a newer one may be in force.
     */
    Verdict verdict() {
        if (reportedLeader.isPresent() || members.hasQuorum(heard::contains)) {
            return Verdict.NO_LEADER;
        }
        List<Membership> all = new ArrayList<>(otherMemberships);
        all.add(members);
        boolean canReturn = all.stream().anyMatch(m -> m.hasQuorum(lost.negate()));
        return canReturn ? Verdict.QUORUM_MISSING : Verdict.QUORUM_LOST;
    }

    List<ReplicaId> heardVoters() {
        return voters(heard::contains);
    }

    List<ReplicaId> lostVoters() {
        return voters(lost.and(v -> !heard.contains(v)));
    }

    List<ReplicaId> silentVoters() {
        return voters(v -> !heard.contains(v) && !lost.test(v));
    }

    private List<ReplicaId> voters(Predicate<ReplicaId> condition) {
        return members.allVoters().stream().filter(condition).toList();
    }

    /** Returns the number of voters in a quorum. */
    int quorumSize() {
        return members.allVoters().size() - members.spareVoters(v -> true);
    }
}
