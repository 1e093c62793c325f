package org.laurelweir.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.ControlEffect.ReportStatus;
import org.laurelweir.coordination.ControlInstanceStatus;
import org.laurelweir.coordination.LossTolerance;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.coordination.LossTolerance.MissingVoter;

/** Tests the gauges of the losses that the log can bear. */
class ControlMetricsTest {
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final ControlMetrics mMetrics = new ControlMetrics(mRegistry);

    private void report(Optional<LossTolerance> tolerance) {
        ControlInstanceStatus self =
                new ControlInstanceStatus(
                        new ReplicaId("c1", 1),
                        "c1",
                        tolerance.isPresent(),
                        1,
                        1,
                        false,
                        Membership.EMPTY,
                        tolerance);
        mMetrics.onReport(new ReportStatus(self, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, List.of()));
    }

    private List<Object> gauges() {
        return List.of(
                gauge("control.losses.bearable"),
                gauge("control.losses.possible"),
                gauge("control.losses.promised"),
                gauge("control.voters.missing"));
    }

    private Object gauge(String name) {
        return mRegistry.getGauges().get(name).getValue();
    }

    @Test
    void leaderTellsTheLossesThatTheLogCanBear() {
        MissingVoter missing =
                new MissingVoter(new ReplicaId("c2", 1), Cause.SILENT, Duration.ofSeconds(3));
        report(Optional.of(new LossTolerance(1, 2, OptionalInt.of(2), List.of(missing))));
        assertThat(gauges()).containsExactly(1L, 2L, 2L, 1L);
    }

    // Guards against an unknown number that looks like a log that can't bear a loss.
    @Test
    void instanceThatDoesNotLeadTellsThatItDoesNotKnow() {
        assertThat(gauges()).containsOnly(-1L);
        report(Optional.empty());
        assertThat(gauges()).containsOnly(-1L);
    }

    @Test
    void absentPromiseIsUnknown() {
        report(Optional.of(new LossTolerance(1, 1, OptionalInt.empty(), List.of())));
        assertThat(gauges()).containsExactly(1L, 1L, -1L, 0L);
    }
}
