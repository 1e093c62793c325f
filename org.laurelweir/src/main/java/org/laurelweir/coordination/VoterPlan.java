package org.laurelweir.coordination;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.ReplicaId;

/**
 * Decides the next membership change that brings the replicas of the log closer to the intended
 * ones.
 *
 * <p>The number of voters is odd, as far as there are enough replicas with disks. An additional
 * voter would not make the log survive a further loss, and an even number of voters that is
 * partitioned into halves has no quorum on either side. The remaining learner is the spare: it
 * takes the place of a voter whose disk is lost, that is silent, or that stops soon.
 *
 * <p>An instance without a disk stays a learner. It serves its callers from its copy of the log,
 * and no quorum depends on its memory.
 *
 * @param members the current membership of the log
 * @param running the replica ids that the running control instances report
 * @param caughtUp the replicas that acknowledge entries and lack at most the newest ones
 * @param departing the replicas whose place a spare takes: they have not replied for some time, or
 *     stop soon
 * @param timedOut the replicas that have been silent for so long that they are removed
 * @param autoJoin whether instances that are not configured may join by themselves
 */
record VoterPlan(
        Membership members,
        Set<ReplicaId> running,
        Set<ReplicaId> caughtUp,
        Set<ReplicaId> departing,
        Set<ReplicaId> timedOut,
        boolean autoJoin) {
    private static final int MAX_VOTERS = 7;

    /** Minimum number of voters after a removal. Fewer voters would not survive a single loss. */
    private static final int MIN_VOTERS = 3;

    /** Returns the next membership change, or empty if none is needed or possible now. */
    Optional<MembershipChange> nextStep() {
        if (members.isJoint()) {
            return Optional.empty();
        }
        return replacement()
                .or(this::addition)
                .or(this::removalOfLostDisk)
                .or(this::promotion)
                .or(this::removalOfTimedOut);
    }

    private Optional<MembershipChange> addition() {
        return running.stream()
                .filter(r -> !members.contains(r))
                .filter(r -> autoJoin || members.all().stream().anyMatch(m -> isSameName(m, r)))
                .min(Comparator.naturalOrder())
                .map(MembershipChange.AddLearner::new);
    }

    /**
     * Returns a change that puts a learner in the place of a voter whose disk is lost or that is
     * departing. The learner of the same name is the first choice. Any other one that has caught up
     * will do as well, because a further loss may come before the first choice has caught up.
     */
    private Optional<MembershipChange> replacement() {
        return Stream.concat(votersWithLostDisks(), departingVoters())
                .flatMap(v -> successorOf(v).stream().map(s -> replace(v, s)))
                .findFirst();
    }

    private static MembershipChange replace(ReplicaId voter, ReplicaId successor) {
        return new MembershipChange.Replace(voter, successor);
    }

    private Stream<ReplicaId> votersWithLostDisks() {
        return members.voters().stream().filter(this::isDiskLost);
    }

    private Stream<ReplicaId> departingVoters() {
        return members.voters().stream().filter(departing::contains);
    }

    private Optional<ReplicaId> successorOf(ReplicaId voter) {
        return members.learners().stream()
                .filter(this::canVote)
                .max(Comparator.comparing(l -> isSameName(l, voter)));
    }

    /**
     * Returns whether a learner may become a voter now. It has to have caught up: a voter without
     * the log enlarges the quorum but can't help to reach it.
     */
    private boolean canVote(ReplicaId learner) {
        return learner.isDurable()
                && caughtUp.contains(learner)
                && !departing.contains(learner)
                && !isDiskLost(learner);
    }

    /**
     * Returns whether the instance of a replica's name runs on another disk, so that this replica
     * can't return.
     */
    private boolean isDiskLost(ReplicaId replica) {
        return running.stream().anyMatch(r -> isSameName(r, replica) && !r.equals(replica));
    }

    private static boolean isSameName(ReplicaId a, ReplicaId b) {
        return a.name().equals(b.name());
    }

    /**
     * Returns the removal of a replica whose disk is lost and whose successor is a voter, or that
     * is a learner.
     */
    private Optional<MembershipChange> removalOfLostDisk() {
        return members.all().stream()
                .filter(this::isDiskLost)
                .filter(r -> !members.isVoter(r) || hasVotingSuccessor(r))
                .findFirst()
                .map(MembershipChange.Remove::new);
    }

    private boolean hasVotingSuccessor(ReplicaId replica) {
        return members.voters().stream()
                .anyMatch(v -> isSameName(v, replica) && running.contains(v));
    }

    /**
     * Returns the promotion of a learner if the number of voters is even, or if there are two
     * spares, so that the log survives one more loss. While a voter is missing, none is promoted:
     * the spares are needed in the places of missing voters, and an additional voter would only
     * enlarge the quorum.
     */
    private Optional<MembershipChange> promotion() {
        List<ReplicaId> spares = members.learners().stream().filter(this::isSpare).toList();
        boolean isNeeded = members.voters().size() % 2 == 0 || spares.size() > 1;
        boolean isPossible = members.voters().size() < MAX_VOTERS && areAllVotersWell();
        return isNeeded && isPossible
                ? spares.stream().findFirst().map(MembershipChange.Promote::new)
                : Optional.empty();
    }

    private boolean areAllVotersWell() {
        return members.voters().stream()
                .allMatch(v -> caughtUp.contains(v) && !departing.contains(v) && !isDiskLost(v));
    }

    /** Returns whether a learner may become a voter and is not the successor of a voter. */
    private boolean isSpare(ReplicaId learner) {
        return canVote(learner) && members.voters().stream().noneMatch(v -> isSameName(v, learner));
    }

    /**
     * Returns the removal of a replica that has timed out. One of an odd number of voters is not
     * removed: the others would survive no more losses than with it, and one fewer if it returns.
     * Of two, both are removed, one after the other.
     */
    private Optional<MembershipChange> removalOfTimedOut() {
        long timedOutVoters = members.voters().stream().filter(timedOut::contains).count();
        boolean isRemovalUseful = members.voters().size() % 2 == 0 || timedOutVoters > 1;
        return members.all().stream()
                .filter(timedOut::contains)
                .filter(r -> !members.isVoter(r) || (isRemovalUseful && isAboveMinimum()))
                .findFirst()
                .map(MembershipChange.Remove::new);
    }

    private boolean isAboveMinimum() {
        return members.voters().size() > MIN_VOTERS;
    }
}
