package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.coordination.LossTolerance.MissingVoter;
import org.laurelweir.lib.Decision;

/**
 * Tests what a control instance tells of the losses that the log can bear, and of a lost quorum.
 */
class QuorumMonitorTest {
    private static final ReplicaId C2 = new ReplicaId("c2", 1);
    private static final ReplicaId C3 = new ReplicaId("c3", 1);
    private static final ReplicaId C3_NEW_DISK = new ReplicaId("c3", 2);
    private static final OptionalInt ONE = OptionalInt.of(1);
    private static final Duration SOME_SECONDS = Duration.ofSeconds(4);

    private final ControlAmongVoters mControl =
            new ControlAmongVoters(List.of(ControlAmongVoters.SELF, C2, C3), ONE);

    private Decision lastWarning() {
        List<Decision> warnings = mControl.warnings();
        return warnings.get(warnings.size() - 1);
    }

    @Test
    void healthyLeaderTellsWhatTheLogCanBearAndWarnsOfNothing() {
        mControl.run(SOME_SECONDS);
        assertThat(mControl.status().lossTolerance())
                .contains(new LossTolerance(1, 1, ONE, List.of()));
        assertThat(mControl.choices()).contains("LOSSES_BEARABLE");
        assertThat(mControl.warnings()).isEmpty();
    }

    // Guards against a first loss after which nothing says that the log can't bear a second one.
    @Test
    void leaderWarnsAfterTheFirstLoss() {
        mControl.run(SOME_SECONDS);
        mControl.stop(C2);
        mControl.run(SOME_SECONDS);
        assertThat(mControl.warnings()).hasSize(1);
        assertThat(lastWarning().choice()).isEqualTo("FEWER_LOSSES_BEARABLE");
        assertThat(lastWarning().candidates()).containsExactly("c2#1");
        LossTolerance t = mControl.status().lossTolerance().orElseThrow();
        assertThat(t.now()).isZero();
        assertThat(t.missing()).extracting(MissingVoter::cause).containsExactly(Cause.SILENT);
    }

    // Guards against a loss of two disks after which nothing says that no quorum can come back.
    @Test
    void lastVoterSaysThatTheQuorumIsLost() {
        mControl.run(SOME_SECONDS);
        mControl.stop(C3);
        mControl.startWithoutLog(C3_NEW_DISK);
        mControl.run(SOME_SECONDS);
        assertThat(lastWarning().reason()).contains("c3#1 has lost its disk");
        mControl.stop(C2);
        mControl.run(Duration.ofSeconds(10));
        assertThat(lastWarning().choice()).isEqualTo("QUORUM_MISSING");
        assertThat(lastWarning().reason()).contains("silent: c2#1", "disk lost: c3#1");
        mControl.startWithoutLog(new ReplicaId("c2", 2));
        mControl.run(Duration.ofSeconds(10));
        assertThat(lastWarning().choice()).isEqualTo("QUORUM_LOST");
    }

    // Guards against a number that an instance tells after it has ceased to lead.
    @Test
    void instanceThatDoesNotLeadKnowsNoNumber() {
        mControl.run(SOME_SECONDS);
        mControl.stop(C2);
        mControl.stop(C3);
        mControl.run(SOME_SECONDS);
        assertThat(mControl.status().leader()).isFalse();
        assertThat(mControl.status().lossTolerance()).isEmpty();
    }
}
