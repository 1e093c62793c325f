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

/** Who votes in the end, whatever the order in which instances are heard. */
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
     * Takes one step after the other, with the instances heard in an order of its own each time.
     */
    private static Membership applyAllSteps(
            Membership members, List<ReplicaId> present, Set<ReplicaId> overdue, Random random) {
        Membership now = members;
        List<ReplicaId> heard = new ArrayList<>(present);
        for (int i = 0; i < MAX_STEPS; i++) {
            Collections.shuffle(heard, random);
            Optional<MembershipChange> step = new VoterPlan(now, heard, overdue, true).nextStep();
            if (step.isEmpty()) {
                return now;
            }
            now = applyStep(now, step.get());
        }
        throw new AssertionError("no end of steps: " + now);
    }

    private static Membership applyStep(Membership now, MembershipChange step) {
        if (step instanceof AddLearner) {
            return now.withLearner(step.replica());
        }
        return step instanceof Promote
                ? now.withVoter(step.replica())
                : now.without(step.replica());
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
        // Two of six instances come back with empty disks. While the old and the new disk of one
        // both count, the number of voters is even for a moment: a learner that is promoted for
        // that leaves six voters, and a cut into halves leaves neither side a quorum.
        for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
            Random random = new Random(seed);
            Membership members = growFromThreeVoters(replicasWithDisks(6), random);
            List<ReplicaId> present = new ArrayList<>(replicasWithDisks(6));
            present.set(0, replicaWithDisk("c1", 2));
            present.set(1, replicaWithDisk("c2", 2));
            Membership after = applyAllSteps(members, present, Set.of(), random);
            assertThat(after.voters()).hasSize(5);
            assertThat(present).containsAll(after.all());
            assertThat(after.all()).hasSize(6);
        }
    }

    @Test
    void removedVoterIsReplacedBySpareLearner() {
        for (int instances : List.of(4, 6)) {
            for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
                Random random = new Random(seed);
                Membership members = growFromThreeVoters(replicasWithDisks(instances), random);
                ReplicaId gone = members.voters().first();
                List<ReplicaId> present = new ArrayList<>(replicasWithDisks(instances));
                present.remove(gone);
                Membership after = applyAllSteps(members, present, Set.of(gone), random);
                assertThat(after.voters()).hasSize(instances - 1).doesNotContain(gone);
            }
        }
    }

    @Test
    void silentVotersAreRemovedDownToThree() {
        // Nothing that is cut off may talk the core down to a size at which one loss stops it.
        for (int seed = 0; seed < RANDOM_ORDERS; seed++) {
            Random random = new Random(seed);
            Membership members = growFromThreeVoters(replicasWithDisks(5), random);
            List<ReplicaId> present = replicasWithDisks(5).subList(0, 2);
            Set<ReplicaId> overdue = new HashSet<>(replicasWithDisks(5).subList(2, 5));
            assertThat(applyAllSteps(members, present, overdue, random).voters()).hasSize(3);
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
