package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.MembershipChange.AddLearner;
import org.laurelweir.consensus.MembershipChange.Promote;
import org.laurelweir.consensus.ReplicaId;

/**
 * Tests which replicas are voters in the end, whatever the order in which control instances report.
 */
class VoterPlanTest {
    private static final int RANDOM_ORDERS = 300;
    private static final int MAX_STEPS = 40;

    private static ReplicaId replicaWithDisk(String name, int number) {
        return new ReplicaId(name, number);
    }

    private static ReplicaId replicaWithoutDisk(String name) {
        return new ReplicaId(name, -1);
    }

    private static List<ReplicaId> replicasWithDisks(int count) {
        List<ReplicaId> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(replicaWithDisk("c" + i, 1));
        }
        return all;
    }

    /**
     * Applies steps until none is left. The control instances report in a different random order
     * before each step.
     */
    private static Membership applyAllSteps(
            Membership members,
            List<ReplicaId> runningReplicas,
            Set<ReplicaId> timedOut,
            Random random) {
        Membership current = members;
        List<ReplicaId> reporting = new ArrayList<>(runningReplicas);
        for (int i = 0; i < MAX_STEPS; i++) {
            Collections.shuffle(reporting, random);
            Optional<MembershipChange> step =
                    new VoterPlan(current, reporting, timedOut, true).nextStep();
            if (step.isEmpty()) {
                return current;
            }
            current = applyStep(current, step.get());
        }
        throw new AssertionError("steps left after the maximum number; members: " + current);
    }

    private static Membership applyStep(Membership current, MembershipChange step) {
        if (step instanceof AddLearner) {
            return current.withLearner(step.replica());
        }
        return step instanceof Promote
                ? current.withVoter(step.replica())
                : current.without(step.replica());
    }

    private static Membership growFromThreeVoters(List<ReplicaId> all, Random random) {
        Membership first = Membership.ofVoters(all.subList(0, 3));
        return applyAllSteps(first, all, Set.of(), random);
    }

    @Test
    void voterCountIsOddAndAtMostSeven() {
        int[] expected = {3, 3, 5, 5, 7, 7, 7};
        for (int instances = 3; instances < 3 + expected.length; instances++) {
            for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
                Membership members =
                        growFromThreeVoters(replicasWithDisks(instances), new Random(seed));
                assertThat(members.voters()).hasSize(expected[instances - 3]);
                assertThat(members.all()).hasSize(instances);
            }
        }
    }

    @Test
    void lostDisksDoNotChangeVoterCount() {
        // Guards against an even number of voters. Two of six instances return with empty disks.
        // While both the old and the new replica of an instance are voters, the number is even for
        // a short time. A learner that is promoted because of that would leave six voters, and a
        // partition into halves would leave no side with a quorum.
        for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
            Random random = new Random(seed);
            Membership members = growFromThreeVoters(replicasWithDisks(6), random);
            List<ReplicaId> runningReplicas = new ArrayList<>(replicasWithDisks(6));
            runningReplicas.set(0, replicaWithDisk("c1", 2));
            runningReplicas.set(1, replicaWithDisk("c2", 2));
            Membership after = applyAllSteps(members, runningReplicas, Set.of(), random);
            assertThat(after.voters()).hasSize(5);
            assertThat(runningReplicas).containsAll(after.all());
            assertThat(after.all()).hasSize(6);
        }
    }

    @Test
    void removedVoterIsReplacedBySpareLearner() {
        for (int instances : List.of(4, 6)) {
            for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
                Random random = new Random(seed);
                Membership members = growFromThreeVoters(replicasWithDisks(instances), random);
                ReplicaId lost = members.voters().first();
                List<ReplicaId> runningReplicas = new ArrayList<>(replicasWithDisks(instances));
                runningReplicas.remove(lost);
                Membership after = applyAllSteps(members, runningReplicas, Set.of(lost), random);
                assertThat(after.voters()).hasSize(instances - 1).doesNotContain(lost);
            }
        }
    }

    @Test
    void silentVotersAreRemovedDownToThree() {
        // Guards against removals by a partitioned leader that would leave fewer than three voters,
        // so that one more loss stops the log.
        for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
            Random random = new Random(seed);
            Membership members = growFromThreeVoters(replicasWithDisks(5), random);
            List<ReplicaId> runningReplicas = replicasWithDisks(5).subList(0, 2);
            Set<ReplicaId> timedOut = new HashSet<>(replicasWithDisks(5).subList(2, 5));
            assertThat(applyAllSteps(members, runningReplicas, timedOut, random).voters())
                    .hasSize(3);
        }
    }

    @Test
    void replicaWithoutDiskNeverVotes() {
        List<ReplicaId> all = new ArrayList<>(replicasWithDisks(4));
        all.add(replicaWithoutDisk("c5"));
        all.add(replicaWithoutDisk("c6"));
        for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
            Membership members = growFromThreeVoters(all, new Random(seed));
            assertThat(members.voters()).hasSize(3).allMatch(ReplicaId::isDurable);
            assertThat(members.learners()).hasSize(3);
        }
    }
}
