package org.laurelweir.sidecar;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.runtime.metrics.MetricNames;

/** A sidecar's counters and gauges. */
final class SidecarMetrics {
    private static final String EXCHANGE_BYTES = "sidecar.exchange.bytes";

    private final MetricRegistry mRegistry;
    private volatile SidecarReport mReport;

    SidecarMetrics(MetricRegistry registry) {
        mRegistry = registry;
        gauge("sidecar.work.running", () -> mReport == null ? 0 : mReport.runningWork());
        gauge("sidecar.attempts.running", () -> mReport == null ? 0 : mReport.running());
        gauge("sidecar.attempts.waiting", () -> mReport == null ? 0 : mReport.waiting());
    }

    private void gauge(String name, Supplier<Number> value) {
        Gauge<Number> gauge = value::get;
        mRegistry.register(name, gauge);
    }

    /** Sets the report, last sent to control, whose figures the gauges show. */
    void setReport(SidecarReport report) {
        mReport = report;
    }

    /** Counts a decision by its reason. */
    void countDecision(Decision decision) {
        count("sidecar.decisions", "reason", decision.reason());
    }

    /**
     * Counts an attempt's end by its result code, and the tokens that the backend server reports.
     * Ignores frames that don't end an attempt.
     */
    void countAttemptEnd(Frame frame) {
        if (frame instanceof Frame.End e) {
            count("sidecar.endings", "code", "ok");
            mRegistry.counter("sidecar.tokens.prompt").inc(e.usage().promptTokens());
            mRegistry.counter("sidecar.tokens.cached").inc(e.usage().cachedTokens());
            mRegistry.counter("sidecar.tokens.completion").inc(e.usage().completionTokens());
        } else if (frame instanceof Frame.Failed f) {
            count("sidecar.endings", "code", lowerCase(f.code().name()));
        } else if (frame instanceof Frame.Refused r) {
            count("sidecar.endings", "code", lowerCase(r.code().name()));
        }
    }

    /** Counts an action by its kind. */
    void countAction(String kind) {
        count("sidecar.actions", "kind", kind);
    }

    /** Registers gauges for the bytes exchanged with control. */
    void registerControlBytes(Supplier<Number> sent, Supplier<Number> received) {
        gauge(MetricNames.labelled(EXCHANGE_BYTES, "direction", "out"), sent);
        gauge(MetricNames.labelled(EXCHANGE_BYTES, "direction", "in"), received);
    }

    private void count(String name, String label, String value) {
        mRegistry.counter(MetricNames.labelled(name, label, value)).inc();
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
