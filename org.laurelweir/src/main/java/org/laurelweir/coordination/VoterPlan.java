package org.laurelweir.coordination;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.ReplicaId;

/**
 * Decides the next membership change that brings the replicas of the log closer to the intended
 * ones.
 *
 * <p>The number of voters is odd, as far as there are enough replicas with disks. An additional
 * voter would not make the log survive a further loss, and an even number of voters that is
 * partitioned into halves has no quorum on either side. A remaining learner takes the place of the
 * next voter that is removed.
 *
 * <p>An instance without a disk stays a learner. It serves its callers from its copy of the log,
 * and no quorum depends on its memory.
 *
 * @param members the current membership of the log
 * @param runningReplicas the replica ids that the running control instances report
 * @param timedOut the replicas that have been silent for so long that they are removed
 * @param autoJoin whether instances that are not configured may join by themselves
 */
record VoterPlan(
        Membership members,
        Collection<ReplicaId> runningReplicas,
        Set<ReplicaId> timedOut,
        boolean autoJoin) {
    private static final int MAX_VOTERS = 7;

    /** Minimum number of voters after a removal. Fewer voters would not survive a single loss. */
    private static final int MIN_VOTERS = 3;

    /** Returns the next membership change, or empty if none is needed. */
    Optional<MembershipChange> nextStep() {
        return runningReplicas.stream()
                .map(this::stepFor)
                .flatMap(Optional::stream)
                .findFirst()
                .or(this::removal);
    }

    private Optional<MembershipChange> stepFor(ReplicaId replica) {
        Optional<ReplicaId> predecessor =
                members.all().stream()
                        .filter(r -> r.name().equals(replica.name()) && !r.equals(replica))
                        .findFirst();
        if (members.learners().contains(replica)) {
            boolean replacesVoter = predecessor.filter(members::isVoter).isPresent();
            return mayVote(replica) && (replacesVoter || isVoterNeeded())
                    ? Optional.of(new MembershipChange.Promote(replica))
                    : predecessor.map(MembershipChange.Remove::new);
        }
        if (members.isVoter(replica)) {
            return predecessor.map(MembershipChange.Remove::new);
        }
        return autoJoin || predecessor.isPresent()
                ? Optional.of(new MembershipChange.AddLearner(replica))
                : Optional.empty();
    }

    private boolean mayVote(ReplicaId learner) {
        return learner.isDurable() && members.voters().size() < MAX_VOTERS;
    }

    /**
     * Returns whether a learner should be promoted, so that the voters tolerate a further loss or a
     * removed voter is replaced. This counts the voters that remain after pending removals. A
     * replica with a lost disk whose successor is already a voter, and an instance that is about to
     * be removed, would make the number even for a short time. A learner that is promoted because
     * of that would leave the number even permanently.
     */
    private boolean isVoterNeeded() {
        long remainingVoters =
                members.voters().stream()
                        .filter(v -> !timedOut.contains(v))
                        .map(ReplicaId::name)
                        .distinct()
                        .count();
        return remainingVoters % 2 == 0 || spareLearnerCount() > 1;
    }

    /** Returns the number of learners that could vote and are not the successor of a voter. */
    private long spareLearnerCount() {
        return members.learners().stream()
                .filter(r -> r.isDurable() && runningReplicas.contains(r))
                .filter(r -> members.voters().stream().noneMatch(v -> v.name().equals(r.name())))
                .count();
    }

    private Optional<MembershipChange> removal() {
        return members.all().stream()
                .filter(timedOut::contains)
                .filter(r -> !members.isVoter(r) || members.voters().size() > MIN_VOTERS)
                .min(ReplicaId::compareTo)
                .map(MembershipChange.Remove::new);
    }
}
