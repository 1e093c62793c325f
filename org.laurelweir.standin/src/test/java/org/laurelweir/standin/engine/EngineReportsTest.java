package org.laurelweir.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.errors.LaurelweirException;

/**
 * Checks the reports of an engine, with their delay and gaps, and its orders, with and without a
 * check of the fencing token.
 */
class EngineReportsTest {
    private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");
    private static final Duration LAG = Duration.ofMillis(300);

    @Test
    void loadReportIsNewestThatIsAtLeastLagOld() {
        LoadReports reports = new LoadReports(LAG, load(0));
        for (int millis = 100; millis <= 1000; millis += 100) {
            reports.add(load(millis));
        }
        assertThat(reports.read(START.plusMillis(1050)).running()).isEqualTo(700);
        assertThat(reports.read(START.plusMillis(1300)).running()).isEqualTo(1000);
    }

    @Test
    void cacheEventsAreDelayedAndHaveGaps() {
        CacheEvents events = new CacheEvents(LAG, 3);
        for (int i = 1; i <= 6; i++) {
            events.add(START.plusMillis(i * 100), new PrefixCache.Change(i % 2 == 0, i));
        }
        assertThat(events.read(START.plusMillis(750), 0))
                .extracting(CacheEvents.CacheEvent::seq)
                .containsExactly(1L, 2L, 4L);
        assertThat(events.read(START.plusMillis(900), 2))
                .extracting(CacheEvents.CacheEvent::seq)
                .containsExactly(4L, 5L);
    }

    /**
     * Two control instances send orders, and the older one does not know of the newer. An engine
     * that checks the fencing token rejects the older token and keeps its role. An engine that does
     * not check it applies the order, so there the sidecar has to check the token.
     */
    @Test
    void staleOrderIsRejectedOnlyIfFenceIsChecked() {
        EngineOrder current = new EngineOrder(EngineOrder.Kind.SET_ROLE, "prefill", 5);
        EngineOrder old = new EngineOrder(EngineOrder.Kind.SET_ROLE, "decode", 4);
        EngineState checks = new EngineState(settings(true, 0), START);
        EngineState ignores = new EngineState(settings(false, 0), START);
        checks.apply(START, current);
        ignores.apply(START, current);

        assertThatThrownBy(() -> checks.apply(START, old)).isInstanceOf(LaurelweirException.class);
        ignores.apply(START, old);

        assertThat(checks.read(START).role()).isEqualTo("prefill");
        assertThat(ignores.read(START).role()).isEqualTo("decode");
        assertThat(ignores.read(START).fence()).isEqualTo(5);
    }

    @Test
    void modelIsReadyAfterLoadTime() {
        EngineState orders = new EngineState(settings(true, 2000), START);
        orders.apply(START, new EngineOrder(EngineOrder.Kind.LOAD_MODEL, "big", 1));

        assertThat(orders.isReady(START.plusMillis(1999), "big")).isFalse();
        assertThat(orders.isReady(START.plusMillis(2000), "big")).isTrue();
    }

    private static LoadReport load(int millis) {
        return new LoadReport(START.plusMillis(millis).toEpochMilli(), millis, 0, 0, 0, 1);
    }

    private static EngineSettings settings(boolean checkFence, int loadMillis) {
        Duration loadTime = Duration.ofMillis(loadMillis);
        return EngineSettings.builder()
                .models(List.of())
                .orders(new EngineSettings.Orders(checkFence, loadTime))
                .build();
    }
}
