package org.laurelweir.sidecar;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.runtime.metrics.MetricNames;

/** What a sidecar counts. */
final class SidecarMetrics {
    private static final String BYTES = "sidecar.exchange.bytes";

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

    /** Shows what was last reported to control. */
    void reported(SidecarReport report) {
        mReport = report;
    }

    /** Counts a decision. */
    void decided(Decision decision) {
        count("sidecar.decisions", "reason", decision.reason());
    }

    /** Counts how attempts end, and the tokens that the backend server reports. */
    void sent(Frame frame) {
        if (frame instanceof Frame.End e) {
            count("sidecar.endings", "code", "ok");
            mRegistry.counter("sidecar.tokens.prompt").inc(e.usage().promptTokens());
            mRegistry.counter("sidecar.tokens.cached").inc(e.usage().cachedTokens());
            mRegistry.counter("sidecar.tokens.completion").inc(e.usage().completionTokens());
        } else if (frame instanceof Frame.Failed f) {
            count("sidecar.endings", "code", lower(f.code().name()));
        } else if (frame instanceof Frame.Refused r) {
            count("sidecar.endings", "code", lower(r.code().name()));
        }
    }

    /** Counts something else that was done. */
    void did(String what) {
        count("sidecar.actions", "kind", what);
    }

    /** Shows the bytes exchanged with control. */
    void showControlBytes(Supplier<Number> sent, Supplier<Number> received) {
        gauge(MetricNames.labelled(BYTES, "direction", "out"), sent);
        gauge(MetricNames.labelled(BYTES, "direction", "in"), received);
    }

    private void count(String name, String label, String value) {
        mRegistry.counter(MetricNames.labelled(name, label, value)).inc();
    }

    private static String lower(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
