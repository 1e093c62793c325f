package org.laurelweir.router;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import org.laurelweir.direct.NoticeCounts;
import org.laurelweir.hedging.HedgeCounts;
import org.laurelweir.hedging.WithholdReason;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.http.RequestMemory;
import org.laurelweir.runtime.metrics.MetricNames;
import org.laurelweir.waiting.WaitingCounts;

/** The router's counters and gauges. */
final class RouterMetrics {
    private final MetricRegistry mRegistry;

    RouterMetrics(MetricRegistry registry) {
        mRegistry = registry;
    }

    /** Counts the final answer to a caller by its result code. */
    void countAnswer(ResultCode code) {
        String name = code.name().toLowerCase(Locale.ROOT);
        mRegistry.counter(MetricNames.labelled("router.answers", "code", name)).inc();
    }

    /** Counts a new connection that was closed before anything was read from it. */
    void countClosedUnread() {
        mRegistry.counter("router.connections.closed.unread").inc();
    }

    /** Counts an action of the router on a request, such as a resumption. */
    void countAction(String kind) {
        mRegistry.counter(MetricNames.labelled("router.actions", "kind", kind)).inc();
    }

    /** Registers the gauges of the memory for requests. */
    void registerRequestMemory(RequestMemory memory) {
        Gauge<Long> bytes = memory::bytes;
        Gauge<Integer> waiting = memory::waitingCount;
        Gauge<Long> refused = memory::refusedCount;
        mRegistry.register("router.requests.body.bytes", bytes);
        mRegistry.register("router.requests.waiting.for.memory", waiting);
        mRegistry.register("router.requests.refused.for.memory", refused);
    }

    /**
     * Registers the gauges of requests in flight and of answer bytes that callers have not
     * consumed.
     */
    void registerInFlight(Supplier<Integer> count, Supplier<Long> waitingBytes) {
        Gauge<Integer> requests = count::get;
        Gauge<Long> bytes = waitingBytes::get;
        mRegistry.register("router.requests.in.flight", requests);
        mRegistry.register("router.answer.bytes.waiting", bytes);
    }

    /** Registers the gauges of hedged requests since the start of the router. */
    void registerHedges(HedgeCounts counts) {
        registerGauge("hedges.sent", counts::sent);
        registerGauge("hedges.won", counts::won);
        registerGauge("hedges.cancelled", counts::cancelled);
        registerGauge("hedges.failed", counts::failed);
        for (WithholdReason reason : WithholdReason.values()) {
            String name = MetricNames.labelled("hedges.withheld", "reason", reason.word());
            registerGauge(name, () -> counts.withheld(reason));
        }
    }

    /** Registers the gauges of what backend servers said of themselves in answers. */
    void registerNotices(NoticeCounts counts) {
        registerGauge("servers.in.backoff", counts::inBackoff);
        registerGauge("servers.backoffs", counts::backoffs);
        registerGauge("servers.leaving", counts::leaving);
    }

    /** Registers the gauges of requests that wait until a backend server has room. */
    void registerWaiting(WaitingCounts counts) {
        registerGauge("waiting.requests", counts::requests);
        registerGauge("waiting.bytes", counts::bytes);
        registerGauge("waiting.evicted", counts::evicted);
    }

    private void registerGauge(String name, Gauge<Long> gauge) {
        mRegistry.register(name, gauge);
    }
}
