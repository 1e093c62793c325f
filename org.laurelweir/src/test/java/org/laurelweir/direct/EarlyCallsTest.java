package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * Tests the calls that wait for the first settings. They occur when a router is killed and
 * restarted under load: the load balancer sends it calls as soon as it listens, some tenths of a
 * second before it has settings.
 */
class EarlyCallsTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(12);

    private final EarlyCalls<String> mCalls = new EarlyCalls<>();

    private static Instant after(long millis) {
        return NOW.plusMillis(millis);
    }

    @Test
    void waitingCallsAreTakenInArrivalOrder() {
        for (int i = 0; i < 20; i++) {
            assertThat(mCalls.add(after(15 * i), i, SHORT_TIMEOUT, "call" + i)).isTrue();
        }
        assertThat(mCalls.takeExpired(after(300))).isEmpty();
        assertThat(mCalls.takeAll()).hasSize(20).startsWith("call0", "call1");
        assertThat(mCalls.isEmpty()).isTrue();
    }

    @Test
    void callsExpireWithMostOfTheirTimeLeft() {
        mCalls.add(NOW, 1, SHORT_TIMEOUT, "short");
        mCalls.add(NOW, 2, LONG_TIMEOUT, "long");
        assertThat(mCalls.takeExpired(after(374))).isEmpty();
        assertThat(mCalls.takeExpired(after(375))).containsExactly("short");
        assertThat(mCalls.takeExpired(after(799))).isEmpty();
        assertThat(mCalls.takeExpired(after(800))).containsExactly("long");
    }

    @Test
    void callOfADisconnectedCallerIsRemoved() {
        mCalls.add(NOW, 1, LONG_TIMEOUT, "a");
        assertThat(mCalls.remove(1)).isTrue();
        assertThat(mCalls.remove(1)).isFalse();
        assertThat(mCalls.takeAll()).isEmpty();
    }

    @Test
    void numberOfWaitingCallsIsBounded() {
        int kept = 0;
        for (int i = 0; i < 1000; i++) {
            kept += mCalls.add(NOW, i, LONG_TIMEOUT, "x") ? 1 : 0;
        }
        assertThat(kept).isEqualTo(256);
    }
}
