package org.laurelweir.router;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.metrics.MetricNames;

/** What a router counts. */
final class RouterMetrics {
    private final MetricRegistry mRegistry;

    RouterMetrics(MetricRegistry registry) {
        mRegistry = registry;
    }

    /** Counts a final answer. */
    void answered(ResultCode code) {
        String name = code.name().toLowerCase(Locale.ROOT);
        mRegistry.counter(MetricNames.labelled("router.answers", "code", name)).inc();
    }

    /** Counts something that was done about a request, such as a retry. */
    void did(String what) {
        mRegistry.counter(MetricNames.labelled("router.actions", "kind", what)).inc();
    }

    /** Shows how many requests are in flight, and what of their answers waits for callers. */
    void showInFlight(Supplier<Integer> count, Supplier<Long> waitingBytes) {
        Gauge<Integer> requests = count::get;
        Gauge<Long> bytes = waitingBytes::get;
        mRegistry.register("router.requests.in.flight", requests);
        mRegistry.register("router.answer.bytes.waiting", bytes);
    }
}
