package org.laurelweir.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.coordination.LossTolerance.MissingVoter;

/** Tests when a leader logs how many losses the log can bear. */
class LossToleranceLoggerTest {
    private static final Duration CHECK = Duration.ofMillis(250);
    private static final OptionalInt ONE = OptionalInt.of(1);
    private static final ReplicaId C2 = new ReplicaId("c2", 1);
    private static final Membership THREE =
            Membership.ofVoters(List.of(new ReplicaId("c1", 1), C2, new ReplicaId("c3", 1)));
    private static final LossTolerance FULL = new LossTolerance(1, 1, ONE, List.of());

    private final LossToleranceLogger mLogger = new LossToleranceLogger();
    private final TooFewVotersLogger mTooFewVotersLogger = new TooFewVotersLogger();
    private final List<ControlEffect> mLines = new ArrayList<>();
    private List<ReplicaId> mReadyLearners = List.of();
    private Instant mNow = Instant.EPOCH;

    private static LossTolerance missing(Cause cause, Duration silence) {
        return new LossTolerance(0, 1, ONE, List.of(new MissingVoter(C2, cause, silence)));
    }

    private void updateFor(Duration time, LossTolerance tolerance) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            LossReport report =
                    new LossReport(THREE, tolerance, Duration.ofMillis(80), mReadyLearners);
            mLogger.update(mNow, report, mLines::add);
            mTooFewVotersLogger.update(mNow, report, mLines::add);
            mNow = mNow.plus(CHECK);
        }
    }

    @Test
    void fullToleranceIsLoggedOnce() {
        updateFor(Duration.ofMinutes(10), FULL);
        assertThat(mLines).hasSize(1);
        ControlEffect.LogDecision line = (ControlEffect.LogDecision) mLines.get(0);
        assertThat(line.decision().choice()).isEqualTo("LOSSES_BEARABLE");
        assertThat(line.decision().reason())
                .isEqualTo(
                        "the log can bear 1 losses now, 1 with all voters, promised are 1;"
                                + " 3 of 3 voters count, each heard within 80 ms");
    }

    // Guards against a first loss after which nothing says that the log can't bear a second one.
    @Test
    void lossOfAVoterIsAWarningWithItsCause() {
        updateFor(Duration.ofSeconds(3), FULL);
        updateFor(Duration.ofSeconds(3), missing(Cause.SILENT, Duration.ofSeconds(3)));
        assertThat(mLines).hasSize(2);
        ControlEffect.LogWarning line = (ControlEffect.LogWarning) mLines.get(1);
        assertThat(line.decision().choice()).isEqualTo("FEWER_LOSSES_BEARABLE");
        assertThat(line.decision().candidates()).containsExactly("c2#1");
        assertThat(line.decision().reason())
                .contains("can bear 0 losses now", "missing: c2#1 silent for 3000 ms", "2 of 3");
    }

    @Test
    void everyChangeOfTheCauseIsLogged() {
        updateFor(Duration.ofSeconds(3), missing(Cause.SILENT, Duration.ofSeconds(3)));
        updateFor(Duration.ofSeconds(3), missing(Cause.DISK_LOST, Duration.ofSeconds(6)));
        updateFor(Duration.ofSeconds(3), FULL);
        assertThat(mLines).hasSize(3);
        ControlEffect.LogWarning lost = (ControlEffect.LogWarning) mLines.get(1);
        assertThat(lost.decision().reason()).contains("c2#1 has lost its disk");
        assertThat(mLines.get(2)).isInstanceOf(ControlEffect.LogDecision.class);
    }

    // Guards against a learner that could take a lost voter's place while nothing says that it
    // waits.
    @Test
    void learnerThatCouldTakeAMissingVotersPlaceIsNamed() {
        updateFor(Duration.ofSeconds(3), missing(Cause.SILENT, Duration.ofSeconds(3)));
        mReadyLearners = List.of(new ReplicaId("c4", 1));
        updateFor(Duration.ofSeconds(3), missing(Cause.SILENT, Duration.ofSeconds(6)));
        assertThat(mLines).hasSize(2);
        ControlEffect.LogWarning line = (ControlEffect.LogWarning) mLines.get(1);
        assertThat(line.decision().reason()).endsWith("; have the log and don't vote: c4#1");
    }

    @Test
    void learnersOfAHealthyLogAreNoReasonForALine() {
        updateFor(Duration.ofSeconds(3), FULL);
        mReadyLearners = List.of(new ReplicaId("c4", 1));
        updateFor(Duration.ofSeconds(3), FULL);
        assertThat(mLines).hasSize(1);
    }

    // Guards against a line for each heartbeat that is late once.
    @Test
    void shortSilenceIsNotLogged() {
        updateFor(Duration.ofSeconds(3), FULL);
        for (int i = 0; i < 20; i++) {
            updateFor(CHECK.multipliedBy(4), missing(Cause.SILENT, Duration.ofSeconds(1)));
            updateFor(CHECK.multipliedBy(4), FULL);
        }
        assertThat(mLines).hasSize(1);
    }

    // Guards against a flood of lines while leaders change quickly.
    @Test
    void shortLeadershipsLogNothing() {
        for (int i = 0; i < 20; i++) {
            updateFor(Duration.ofSeconds(1), missing(Cause.SILENT, Duration.ofSeconds(1)));
            mLogger.reset();
        }
        assertThat(mLines).isEmpty();
    }

    // Guards against a promise that the number of voters can't keep, and that nobody notices.
    @Test
    void tooFewVotersForThePromiseAreLoggedOnce() {
        LossTolerance tooFew = new LossTolerance(1, 1, OptionalInt.of(2), List.of());
        updateFor(Duration.ofMinutes(10), tooFew);
        assertThat(mLines).hasSize(2).allMatch(ControlEffect.LogWarning.class::isInstance);
        ControlEffect.LogWarning line = (ControlEffect.LogWarning) mLines.get(1);
        assertThat(line.decision().choice()).isEqualTo("TOO_FEW_VOTERS");
        assertThat(line.decision().reason())
                .isEqualTo(
                        "2 losses are promised, which takes 5 instances with disks;"
                                + " the 3 voters can bear 1 even if all are well");
    }
}
