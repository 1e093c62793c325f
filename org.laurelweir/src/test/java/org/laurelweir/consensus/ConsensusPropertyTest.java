package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;

/** What must hold of the replicated log, whatever happens to messages, processes and disks. */
class ConsensusPropertyTest {
    private static final int STEPS = 4000;

    // Callers see: an accepted proposal stays, a read shows at least what was answered before it.
    // Order: messages are lost, repeated and overtake each other; replicas are cut off, stand
    // still for a while, crash between a write and its sync and come back; syncs are late.
    // Why: quorums overlap and whatever counts towards one is on disk first.
    @Property(seed = "1", tries = 250, shrinking = ShrinkingMode.OFF)
    void keepsAcceptedProposals(@ForAll long seed, @ForAll @IntRange(min = 1, max = 3) int faults) {
        ReplicaNetwork network = new ReplicaNetwork(seed, 2 * faults + 1);
        for (int i = 0; i < STEPS; i++) {
            takeRandomAction(network, i);
            crashOrRestart(network);
        }
        assertRecovers(network);
    }

    // Callers see: the same, while disks are lost and the membership follows.
    // Order: a replica loses its disk and returns under a new id, is added as a learner, promoted,
    // and its old id removed; before, after and meanwhile others crash with their disks.
    // Why: a new id never answers for the old one, and one change at a time keeps quorums
    // overlapping.
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

    /** Most runs must get something done and change their leader, or the property shows little. */
    private static void checkCoverage(String what, boolean is) {
        Statistics.label(what).collect(is).coverage(c -> c.check(true).percentage(p -> p > 60));
    }

    /** Once failures end, all replicas are voters, hold all accepted commands and take new ones. */
    private static void assertRecovers(ReplicaNetwork network) {
        network.mReplicas.values().stream().filter(r -> !r.isRunning()).forEach(network::start);
        network.healAndRun(Duration.ofSeconds(10));
        for (int i = 0; i < 100 && !network.isMembershipRepaired(); i++) {
            network.healAndRun(Duration.ofMillis(500));
            if (network.leader() != null) {
                network.repairMembership(network.leader());
            }
        }
        assertThat(network.isMembershipRepaired()).as("membership repaired").isTrue();
        int before = network.mChecker.acceptedCount();
        checkCoverage("accepted ten", before >= 10);
        checkCoverage("led thrice", network.mChecker.termsWithLeaderCount() >= 3);
        network.propose(network.leader(), "last");
        for (int i = 0; i < 100 && !network.isFullyReplicated(); i++) {
            network.healAndRun(Duration.ofMillis(500));
        }
        assertThat(network.mChecker.acceptedCount()).isEqualTo(before + 1);
        network.running().forEach(network.mChecker::assertHoldsAccepted);
        network.assertLogsMatch();
    }
}
