package org.laurelweir.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.config.Endpoint;

/** Tests how a program finds the control instance on its own instance and waits for it. */
class StartOrderTest {
    private static final Endpoint SELF = Endpoint.parse("127.0.0.1:80");

    @Test
    void findsOnlyAControlInstanceOnTheSameInstance() {
        Endpoint near = Endpoint.parse("127.0.0.1:8229");
        Endpoint far = Endpoint.parse("127.0.0.10:8229");
        assertThat(StartOrder.localControlInstance(SELF, List.of(far, near))).contains(near);
        assertThat(StartOrder.localControlInstance(SELF, List.of(far))).isEmpty();
    }

    @Test
    void returnsOnceControlIsReady() {
        // Both programs start at once after a power loss. The router polls until control has a
        // leader and confirmed settings, then loads its classes.
        AtomicInteger polls = new AtomicInteger();
        assertThat(StartOrder.awaitReady(() -> polls.incrementAndGet() == 3)).isTrue();
        assertThat(polls).hasValue(3);
    }

    @Test
    void timesOutIfControlIsNeverReady() {
        assertThat(StartOrder.awaitReady(() -> false)).isFalse();
    }
}
