package org.laurelweir.control;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEffect.AnswerCommand;
import org.laurelweir.coordination.ControlEffect.AnswerError;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEffect.ReportStatus;
import org.laurelweir.coordination.LossTolerance;
import org.laurelweir.runtime.metrics.Readiness;

/** The metrics and the readiness of a control instance. */
final class ControlMetrics implements Readiness {
    /** The value of a gauge whose value is not known here. */
    private static final int UNKNOWN = -1;

    private final Meter mExchanges;
    private final Meter mCommands;
    private final Meter mRefusals;
    private volatile ReportStatus mLastReport;

    ControlMetrics(MetricRegistry registry) {
        mExchanges = registry.meter("control.exchanges");
        mCommands = registry.meter("control.commands");
        mRefusals = registry.meter("control.refusals");
        gauge(registry, "control.leader", r -> r.self().leader() ? 1 : 0);
        gauge(registry, "control.term", r -> r.self().term());
        gauge(registry, "control.committed", r -> r.self().commitIndex());
        gauge(registry, "control.possibly.stale", r -> r.self().possiblyStale() ? 1 : 0);
        gauge(registry, "control.sidecars.heard", ReportStatus::sessions);
        gauge(registry, "control.backends", ReportStatus::backends);
        gauge(registry, "control.claims", ReportStatus::claims);
        gauge(registry, "control.requests.quarantined", ReportStatus::quarantinedRequests);
        gauge(registry, "control.prompt.parts.quarantined", ReportStatus::quarantinedParts);
        gauge(registry, "control.data-centres.drained", ReportStatus::drainedDataCentres);
        gauge(registry, "control.requests.under.way", ReportStatus::runningRequests);
        gauge(registry, "control.settings.position", ReportStatus::settingsPosition);
        gauge(registry, "control.streams.recorded", ReportStatus::recordedStreams);
        gauge(registry, "control.services.of.several.versions", ReportStatus::mixedServices);
        lossGauge(registry, "control.losses.bearable", LossTolerance::now);
        lossGauge(registry, "control.losses.possible", LossTolerance::possible);
        lossGauge(registry, "control.losses.promised", t -> t.promised().orElse(UNKNOWN));
        lossGauge(registry, "control.voters.missing", t -> t.missing().size());
        gauge(registry, "control.log.bytes", ReportStatus::logBytes);
        gauge(registry, "control.snapshot.bytes", ReportStatus::snapshotBytes);
    }

    private void gauge(MetricRegistry registry, String name, ToLongFunction<ReportStatus> value) {
        registry.register(
                name,
                (Gauge<Long>)
                        () -> {
                            ReportStatus r = mLastReport;
                            return r == null ? 0 : value.applyAsLong(r);
                        });
    }

    /** Registers a gauge of what only the leader knows. */
    private void lossGauge(
            MetricRegistry registry, String name, ToLongFunction<LossTolerance> value) {
        registry.register(
                name,
                (Gauge<Long>)
                        () ->
                                Optional.ofNullable(mLastReport)
                                        .flatMap(r -> r.self().lossTolerance())
                                        .map(value::applyAsLong)
                                        .orElse((long) UNKNOWN));
    }

    /** Returns the addresses of the other control instances, or empty before the first report. */
    Optional<Collection<String>> peers() {
        return Optional.ofNullable(mLastReport).map(ReportStatus::peers);
    }

    void onReport(ReportStatus report) {
        mLastReport = report;
    }

    void onAnswer(Answer answer) {
        if (answer instanceof AnswerExchange) {
            mExchanges.mark();
        } else if (answer instanceof AnswerCommand) {
            mCommands.mark();
        } else if (answer instanceof AnswerError) {
            mRefusals.mark();
        }
    }

    @Override
    public Optional<String> notReadyReason() {
        ReportStatus r = mLastReport;
        if (r == null) {
            return Optional.of("starting");
        }
        if (r.self().possiblyStale()) {
            return Optional.of("no contact with a leader that has a quorum");
        }
        return Optional.empty();
    }
}
