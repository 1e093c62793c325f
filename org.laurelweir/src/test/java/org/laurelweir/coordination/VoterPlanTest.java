package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.MembershipChange.AddLearner;
import org.laurelweir.consensus.MembershipChange.Promote;
import org.laurelweir.consensus.MembershipChange.Replace;
import org.laurelweir.consensus.ReplicaId;

/**
 * Tests which replicas are voters in the end, whatever the order in which control instances report.
 */
class VoterPlanTest {
    private static final int RANDOM_ORDERS = 300;
    private static final int RANDOM_STATES = 20_000;
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
            Set<ReplicaId> running = new LinkedHashSet<>(reporting);
            Optional<MembershipChange> step =
                    new VoterPlan(current, running, running, timedOut, timedOut, true).nextStep();
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
        if (step instanceof Replace r) {
            return current.withReplacement(r.replaced(), r.replica()).withoutPreviousVoters();
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

    // Guards against a step that leaves the log fewer losses to survive than before it, whichever
    // replicas are silent, behind, or have lost their disks.
    @Test
    void noStepReducesTheLossesThatAreSurvived() {
        for (int seed = 0; seed < RANDOM_STATES; seed++) {
            Random random = new Random(seed);
            List<ReplicaId> all = replicasWithDisks(3 + random.nextInt(6));
            Membership members = randomMembership(all, random);
            Set<ReplicaId> running = randomRunning(all, random);
            Set<ReplicaId> caughtUp = randomPart(members.all(), running::contains, random);
            Set<ReplicaId> silent = randomPart(members.all(), r -> !caughtUp.contains(r), random);
            Set<ReplicaId> timedOut = randomPart(silent, r -> !running.contains(r), random);
            VoterPlan plan =
                    new VoterPlan(
                            members, running, caughtUp, silent, timedOut, random.nextBoolean());
            plan.nextStep().ifPresent(step -> assertSurvivesNoLess(members, step, caughtUp));
        }
    }

    private static void assertSurvivesNoLess(
            Membership before, MembershipChange step, Set<ReplicaId> caughtUp) {
        int spare = before.spareVoters(caughtUp::contains);
        if (step instanceof Replace r) {
            Membership joint = before.withReplacement(r.replaced(), r.replica());
            assertThat(joint.spareVoters(caughtUp::contains))
                    .as("during %s of %s, caught up %s", step, before, caughtUp)
                    .isGreaterThanOrEqualTo(spare);
        }
        assertThat(applyStep(before, step).spareVoters(caughtUp::contains))
                .as("after %s of %s, caught up %s", step, before, caughtUp)
                .isGreaterThanOrEqualTo(spare);
    }

    private static Membership randomMembership(List<ReplicaId> all, Random random) {
        List<ReplicaId> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, random);
        int voters = 1 + random.nextInt(Math.min(7, all.size()));
        Membership members = Membership.ofVoters(shuffled.subList(0, voters));
        for (ReplicaId learner : shuffled.subList(voters, all.size())) {
            members = random.nextBoolean() ? members.withLearner(learner) : members;
        }
        return members;
    }

    /** Returns the replicas that run: some are down, some run on a new disk. */
    private static Set<ReplicaId> randomRunning(List<ReplicaId> all, Random random) {
        Set<ReplicaId> running = new HashSet<>();
        for (ReplicaId r : all) {
            int state = random.nextInt(4);
            if (state > 0) {
                running.add(state == 1 ? replicaWithDisk(r.name(), 2) : r);
            }
        }
        return running;
    }

    private static Set<ReplicaId> randomPart(
            Collection<ReplicaId> ids, Predicate<ReplicaId> condition, Random random) {
        return ids.stream()
                .filter(condition)
                .filter(r -> random.nextInt(4) > 0)
                .collect(Collectors.toSet());
    }

    // Guards against a spare that stays a learner while a voter is silent, so that for as long one
    // loss fewer is survived.
    @Test
    void caughtUpSpareReplacesASilentVoterAtOnce() {
        for (int voters : List.of(3, 5, 7)) {
            List<ReplicaId> all = replicasWithDisks(voters + 1);
            Membership members =
                    Membership.ofVoters(all.subList(0, voters)).withLearner(all.get(voters));
            Set<ReplicaId> running = new HashSet<>(all.subList(1, voters + 1));
            Set<ReplicaId> departing = Set.of(all.get(0));
            VoterPlan plan = new VoterPlan(members, running, running, departing, Set.of(), true);
            assertThat(plan.nextStep()).contains(new Replace(all.get(0), all.get(voters)));
        }
    }

    // Guards against a voter that is removed although no other takes its place: the log survives no
    // more losses without it, and one fewer when it returns.
    @Test
    void oneOfAnOddNumberOfVotersIsNotRemoved() {
        for (int voters : List.of(3, 5, 7)) {
            List<ReplicaId> all = replicasWithDisks(voters);
            Set<ReplicaId> running = new HashSet<>(all.subList(1, voters));
            Set<ReplicaId> silent = Set.of(all.get(0));
            VoterPlan plan =
                    new VoterPlan(Membership.ofVoters(all), running, running, silent, silent, true);
            assertThat(plan.nextStep()).isEmpty();
        }
    }

    // Guards against learners that are promoted beside voters that have just been lost, so that
    // none is left to take their places: 5 voters of which 2 are gone become 7 of which 2 are gone,
    // which survive one loss instead of two.
    @Test
    void learnersAreKeptForVotersThatAreMissing() {
        List<ReplicaId> all = replicasWithDisks(7);
        Membership members =
                Membership.ofVoters(all.subList(0, 5))
                        .withLearner(all.get(5))
                        .withLearner(all.get(6));
        Set<ReplicaId> there = new HashSet<>(all.subList(2, 7));
        VoterPlan plan = new VoterPlan(members, there, there, Set.of(), Set.of(), true);
        assertThat(plan.nextStep()).isEmpty();
    }

    // Guards against an even number of voters without a spare: of two learners one has caught up
    // and the other one has not (it is gone, behind, or its disk takes no write).
    @Test
    void noVoterIsAddedForALearnerThatCannotVote() {
        List<ReplicaId> all = replicasWithDisks(5);
        Membership members =
                Membership.ofVoters(all.subList(0, 3))
                        .withLearner(all.get(3))
                        .withLearner(all.get(4));
        Set<ReplicaId> caughtUp = new HashSet<>(all.subList(0, 4));
        VoterPlan plan =
                new VoterPlan(members, new HashSet<>(all), caughtUp, Set.of(), Set.of(), true);
        assertThat(plan.nextStep()).isEmpty();
    }
}
