package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.lib.Decision;

/** Tests what an instance without a leader logs, and how often. */
class LeaderlessLoggerTest {
    private static final Duration CHECK = Duration.ofMillis(250);
    private static final ReplicaId C1 = new ReplicaId("c1", 1);
    private static final ReplicaId C2 = new ReplicaId("c2", 1);
    private static final ReplicaId C3 = new ReplicaId("c3", 1);
    private static final ReplicaId C4 = new ReplicaId("c4", 1);
    private static final Membership THREE = Membership.ofVoters(List.of(C1, C2, C3));
    private static final QuorumView ONE_SILENT = view(Set.of(C1), Set.of(C2));
    private static final QuorumView LOST = view(Set.of(C1), Set.of(C2, C3));

    private final LeaderlessLogger mLogger = new LeaderlessLogger();
    private final List<ControlEffect> mLines = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;

    private static QuorumView view(Set<ReplicaId> heard, Set<ReplicaId> lost) {
        return new QuorumView(THREE, List.of(), heard, lost::contains, Optional.empty());
    }

    private void leaderlessFor(Duration time, QuorumView view) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mLogger.onNoLeader(mNow, view, mLines::add);
            mNow = mNow.plus(CHECK);
        }
    }

    private Decision warning(int index) {
        return ((ControlEffect.LogWarning) mLines.get(index)).decision();
    }

    @Test
    void electionsLogNothing() {
        for (int i = 0; i < 10; i++) {
            leaderlessFor(Duration.ofSeconds(4), ONE_SILENT);
            mLogger.onLeader(mNow, C2, mLines::add);
        }
        assertThat(mLines).isEmpty();
    }

    // Guards against a quorum that is missing while nothing says which voters could bring it back.
    @Test
    void missingQuorumIsLoggedWithTheVotersThatAreSilent() {
        leaderlessFor(Duration.ofSeconds(6), ONE_SILENT);
        assertThat(mLines).hasSize(1);
        assertThat(warning(0).choice()).isEqualTo("QUORUM_MISSING");
        assertThat(warning(0).candidates()).containsExactly("c1#1");
        assertThat(warning(0).reason())
                .isEqualTo(
                        "no leader for 5 s; hears 1 of 3 voters, a quorum takes 2; silent: c3#1;"
                                + " disk lost: c2#1; a quorum is missing until silent voters return"
                                + " with their disks");
    }

    // Guards against operators who wait for a quorum that can't come back.
    @Test
    void quorumWhoseDisksAreLostIsMissingForGood() {
        leaderlessFor(Duration.ofSeconds(6), LOST);
        assertThat(warning(0).choice()).isEqualTo("QUORUM_LOST");
        assertThat(warning(0).reason()).endsWith("missing for good, as far as known here");
    }

    // Guards against calling a quorum lost while a newer membership has one.
    @Test
    void newerMembershipThatAPeerReportsKeepsTheQuorum() {
        Membership newer = Membership.ofVoters(List.of(C1, C3, C4));
        Set<ReplicaId> lost = Set.of(C2, C3);
        QuorumView view =
                new QuorumView(THREE, List.of(newer), Set.of(C1), lost::contains, Optional.empty());
        assertThat(view.verdict()).isEqualTo(QuorumView.Verdict.QUORUM_MISSING);
    }

    // Guards against taking an election that doesn't end for a quorum that is missing.
    @Test
    void quorumThatIsHeardWithoutALeaderHasItsOwnName() {
        leaderlessFor(Duration.ofSeconds(6), view(Set.of(C1, C3), Set.of(C2)));
        assertThat(warning(0).choice()).isEqualTo("NO_LEADER");
        assertThat(warning(0).candidates()).containsExactly("c1#1", "c3#1");
    }

    // Guards against calling a quorum lost that another instance leads.
    @Test
    void leaderThatAnotherInstanceReportsIsNamed() {
        QuorumView view = new QuorumView(THREE, List.of(), Set.of(C1), v -> true, Optional.of(C4));
        leaderlessFor(Duration.ofSeconds(6), view);
        assertThat(warning(0).choice()).isEqualTo("NO_LEADER");
        assertThat(warning(0).reason())
                .endsWith("c4#1 leads, and this instance gets no log from it");
    }

    @Test
    void linesRepeatSlowlyAndEndWithTheLeader() {
        leaderlessFor(Duration.ofMinutes(5), ONE_SILENT);
        assertThat(mLines).hasSize(10);
        mLogger.onLeader(mNow, C2, mLines::add);
        mLogger.onLeader(mNow, C2, mLines::add);
        assertThat(mLines).hasSize(11);
        ControlEffect.LogDecision last = (ControlEffect.LogDecision) mLines.get(10);
        assertThat(last.decision().choice()).isEqualTo("LEADER_KNOWN");
        assertThat(last.decision().candidates()).containsExactly("c2#1");
        assertThat(last.decision().reason()).isEqualTo("there was none for 300 s");
    }

    // Guards against a flood of lines while voters come and go.
    @Test
    void changesAreLoggedAtABoundedRate() {
        for (int i = 0; i < 60; i++) {
            leaderlessFor(CHECK, ONE_SILENT);
            leaderlessFor(CHECK.multipliedBy(3), LOST);
        }
        assertThat(mLines).hasSizeBetween(2, 12);
    }
}
