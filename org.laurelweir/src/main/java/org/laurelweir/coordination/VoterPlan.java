package org.laurelweir.coordination;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.ReplicaId;

/**
 * Decides the next step from the replicas that there are to those that there should be.
 *
 * <p>The voters are of an odd number, as far as there are disks for it: one more bears no further
 * loss, and a core of an even number that is cut into halves has a quorum on neither side. The
 * learner that is left over takes the place of the next voter that is removed.
 *
 * <p>An instance without a disk stays a learner: it serves its callers from what it learns, and
 * nothing depends on what it remembers.
 *
 * @param members the replicas of the log
 * @param runningReplicas those that control instances say they are now
 * @param timedOut those that have been silent for so long that they are to be removed
 * @param autoJoin whether instances that no settings name join by themselves
 */
record VoterPlan(
        Membership members,
        Collection<ReplicaId> runningReplicas,
        Set<ReplicaId> timedOut,
        boolean autoJoin) {
    private static final int MAX_VOTERS = 7;

    /** Fewer voters would not survive a single loss. */
    private static final int MIN_VOTERS = 3;

    /** Returns the next step, or nothing where all is as it should be. */
    Optional<MembershipChange> nextStep() {
        return runningReplicas.stream()
                .map(this::stepFor)
                .flatMap(Optional::stream)
                .findFirst()
                .or(this::removal);
    }

    private Optional<MembershipChange> stepFor(ReplicaId replica) {
        Optional<ReplicaId> before =
                members.all().stream()
                        .filter(r -> r.name().equals(replica.name()) && !r.equals(replica))
                        .findFirst();
        if (members.learners().contains(replica)) {
            boolean replaces = before.filter(members::isVoter).isPresent();
            return mayVote(replica) && (replaces || isVoterNeeded())
                    ? Optional.of(new MembershipChange.Promote(replica))
                    : before.map(MembershipChange.Remove::new);
        }
        if (members.isVoter(replica)) {
            return before.map(MembershipChange.Remove::new);
        }
        return autoJoin || before.isPresent()
                ? Optional.of(new MembershipChange.AddLearner(replica))
                : Optional.empty();
    }

    private boolean mayVote(ReplicaId learner) {
        return learner.isDurable() && members.voters().size() < MAX_VOTERS;
    }

    /**
     * Returns whether another voter bears a further loss, or takes a place that gets free. Counted
     * is what the voters come to: a lost disk whose successor votes already, and an instance that
     * is about to be removed, would make the number look even for the moment, and another learner
     * promoted by that would leave it even for good.
     */
    private boolean isVoterNeeded() {
        long staying =
                members.voters().stream()
                        .filter(v -> !timedOut.contains(v))
                        .map(ReplicaId::name)
                        .distinct()
                        .count();
        return staying % 2 == 0 || spareLearnerCount() > 1;
    }

    /** Returns how many learners could vote and replace no voter. */
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
