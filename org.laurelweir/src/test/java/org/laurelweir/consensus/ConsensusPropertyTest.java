package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;

/** Randomized tests of the replicated log under failures of messages, processes and disks. */
class ConsensusPropertyTest {
    private static final int STEPS = 4000;

    // Guards against lost accepted proposals and stale reads. Messages are lost, duplicated and
    // reordered; replicas are partitioned, pause, crash between a write and its sync, and restart;
    // syncs are slow. Safety holds because quorums overlap and everything that counts towards a
    // quorum is synced first.
    @Property(seed = "1", tries = 250, shrinking = ShrinkingMode.OFF)
    void keepsAcceptedProposals(@ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int faults) {
        ReplicaNetwork network = new ReplicaNetwork(seed, 2 * faults + 1);
        for (int i = 0; i < STEPS; i++) {
            takeRandomAction(network, i);
            crashOrRestart(network);
        }
        assertRecovers(network);
    }

    // Guards against the same failures while disks are lost and the membership is repaired. A
    // replica loses its disk and returns under a new id; it is added as a learner and promoted, and
    // its old id is removed. Other replicas crash at any time but keep their disks. Safety holds
    // because a new id never answers for the old one, and because one change at a time keeps
    // quorums overlapping.
    @Property(seed = "2", tries = 250, shrinking = ShrinkingMode.OFF)
    void keepsAcceptedProposalsAcrossDiskLoss(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int faults) {
        ReplicaNetwork network = new ReplicaNetwork(seed, 2 * faults + 1);
        for (int i = 0; i < STEPS; i++) {
            takeRandomAction(network, i);
            crashOrRestart(network);
            changeMembers(network);
        }
        assertRecovers(network);
    }

    // Guards against the same failures while instances are lost for good and others take their
    // places, with leaders that are lost and replicas that are partitioned in the midst of a
    // replacement. Safety holds because a joint membership needs a quorum of the voters before and
    // of those after.
    @Property(seed = "3", tries = 250, shrinking = ShrinkingMode.OFF)
    void keepsAcceptedProposalsAcrossReplacements(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int faults) {
        ReplicaNetwork network = new ReplicaNetwork(seed, 2 * faults + 1);
        for (int i = 0; i < STEPS; i++) {
            takeRandomAction(network, i);
            crashOrRestart(network);
            replaceMembers(network, faults);
        }
        assertRecovers(network);
    }

    /** Loses up to the tolerated number of instances at once, or lets the leader replace them. */
    private static void replaceMembers(ReplicaNetwork network, int faults) {
        double choice = network.mRandom.nextDouble();
        TestReplica leader = network.leader();
        if (choice < 0.02 && network.isMembershipRepaired()) {
            for (int i = network.mRandom.nextInt(faults); i >= 0; i--) {
                network.replaceInstance(network.randomReplica());
            }
        } else if (choice < 0.06 && leader != null) {
            network.replaceLostVoters(leader);
        }
    }

    // Guards against the same failures while voters are replaced that are not lost, the leader
    // among
    // them, and return in the midst of it.
    @Property(seed = "4", tries = 120, shrinking = ShrinkingMode.OFF)
    void keepsAcceptedProposalsWhileAnyVoterIsReplaced(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int faults) {
        ReplicaNetwork network = new ReplicaNetwork(seed, 2 * faults + 1);
        network.replaceDisk("spare1");
        network.replaceDisk("spare2");
        for (int i = 0; i < STEPS; i++) {
            takeRandomAction(network, i);
            crashOrRestart(network);
            if (network.mRandom.nextDouble() < 0.03) {
                network.replaceAnyVoter(network.randomLeader());
            }
        }
        assertAcceptsProposals(network);
    }

    /**
     * Checks that, after all failures end, a new command is accepted and no replacement is open.
     */
    private static void assertAcceptsProposals(ReplicaNetwork network) {
        network.mReplicas.values().stream().filter(r -> !r.isRunning()).forEach(network::start);
        network.healAndRun(Duration.ofSeconds(5));
        int acceptedBefore = network.mChecker.acceptedCount();
        network.propose(network.leader(), "last");
        network.run(Duration.ofSeconds(2));
        assertThat(network.mChecker.acceptedCount()).isEqualTo(acceptedBefore + 1);
        assertThat(network.leader().mReducer.membership().isJoint()).isFalse();
        network.assertLogsMatch();
    }

    private static void takeRandomAction(ReplicaNetwork network, int step) {
        double choice = network.mRandom.nextDouble();
        if (choice < 0.60) {
            network.deliverSome(0.05, 0.05);
        } else if (choice < 0.70) {
            network.tick(10 + network.mRandom.nextInt(40));
        } else if (choice < 0.85) {
            network.syncSome();
        } else if (choice < 0.95) {
            network.propose(network.randomLeader(), "c" + step);
        } else {
            network.read(network.randomLeader());
        }
        if (network.mRandom.nextDouble() < 0.005) {
            network.step(network.randomLeader(), new ConsensusEvent.LeadershipTransferRequested());
        }
        if (step % 100 == 0) {
            network.assertLogsMatch();
        }
    }

    private static void crashOrRestart(ReplicaNetwork network) {
        double choice = network.mRandom.nextDouble();
        TestReplica replica = network.randomReplica();
        if (choice < 0.006 && replica.isRunning()) {
            replica.crash(network.mRandom);
            if (network.mRandom.nextBoolean()) {
                network.start(replica);
            }
        } else if (choice < 0.020 && !replica.isRunning()) {
            network.start(replica);
        } else if (choice < 0.022) {
            network.partition(List.of(replica.mId.name(), network.randomReplica().mId.name()));
        } else if (choice < 0.026) {
            network.partition(List.of());
        } else if (choice < 0.028) {
            replica.mIsPaused = replica.isRunning();
        } else if (choice < 0.034) {
            replica.mIsPaused = false;
        }
    }

    private static void changeMembers(ReplicaNetwork network) {
        double choice = network.mRandom.nextDouble();
        TestReplica leader = network.leader();
        if (choice < 0.02 && network.isMembershipRepaired()) {
            TestReplica replica = network.randomReplica();
            replica.crash(network.mRandom);
            network.replaceDisk(replica.mId.name());
        } else if (choice < 0.05 && leader != null) {
            network.repairMembership(leader);
        }
    }

    /**
     * Checks that a condition holds in most runs. Runs that accept few proposals or never change
     * their leader would prove little.
     */
    private static void checkCoverage(String condition, boolean holds) {
        Statistics.label(condition)
                .collect(holds)
                .coverage(c -> c.check(true).percentage(p -> p > 60));
    }

    /**
     * Checks that, after all failures end, every replica is a voter, has applied all accepted
     * commands and applies new ones.
     */
    private static void assertRecovers(ReplicaNetwork network) {
        network.mReplicas.values().stream().filter(r -> !r.isRunning()).forEach(network::start);
        network.healAndRun(Duration.ofSeconds(10));
        for (int i = 0; i < 100 && !network.isMembershipRepaired(); i++) {
            network.healAndRun(Duration.ofMillis(500));
            if (network.leader() != null) {
                network.repairMembership(network.leader());
            }
        }
        assertThat(network.isMembershipRepaired()).as("all replicas are voters").isTrue();
        int acceptedBefore = network.mChecker.acceptedCount();
        checkCoverage("at least 10 proposals accepted", acceptedBefore >= 10);
        checkCoverage(
                "at least 3 terms with a leader", network.mChecker.termsWithLeaderCount() >= 3);
        network.propose(network.leader(), "last");
        for (int i = 0; i < 100 && !network.isFullyReplicated(); i++) {
            network.healAndRun(Duration.ofMillis(500));
        }
        assertThat(network.mChecker.acceptedCount()).isEqualTo(acceptedBefore + 1);
        network.running().forEach(network.mChecker::assertHoldsAccepted);
        network.assertLogsMatch();
    }
}
