package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a router is killed while callers keep coming. The balancer still sends it a share
 * of them when it listens again, some tenths of a second before it has settings.
 */
class EarlyCallsTest {
    private static final Instant START = Instant.EPOCH;
    private static final Duration SHORT = Duration.ofMillis(1500);
    private static final Duration LONG = Duration.ofSeconds(12);

    private final EarlyCalls<String> mCalls = new EarlyCalls<>();

    private static Instant after(long millis) {
        return START.plusMillis(millis);
    }

    @Test
    void callsAreServedInTheirOrderOnceTheyCanBe() {
        for (int i = 0; i < 20; i++) {
            assertThat(mCalls.keep(after(15 * i), i, SHORT, "call" + i)).isTrue();
        }
        assertThat(mCalls.takeExpired(after(300))).isEmpty();
        assertThat(mCalls.takeAll()).hasSize(20).startsWith("call0", "call1");
        assertThat(mCalls.isEmpty()).isTrue();
    }

    @Test
    void aCallerIsTurnedAwayWhileItHasMostOfItsTime() {
        mCalls.keep(START, 1, SHORT, "short");
        mCalls.keep(START, 2, LONG, "long");
        assertThat(mCalls.takeExpired(after(374))).isEmpty();
        assertThat(mCalls.takeExpired(after(375))).containsExactly("short");
        assertThat(mCalls.takeExpired(after(799))).isEmpty();
        assertThat(mCalls.takeExpired(after(800))).containsExactly("long");
    }

    @Test
    void aCallerThatLeftIsForgotten() {
        mCalls.keep(START, 1, LONG, "a");
        assertThat(mCalls.remove(1)).isTrue();
        assertThat(mCalls.remove(1)).isFalse();
        assertThat(mCalls.takeAll()).isEmpty();
    }

    @Test
    void aCrowdIsNotKept() {
        int kept = 0;
        for (int i = 0; i < 1000; i++) {
            kept += mCalls.keep(START, i, LONG, "x") ? 1 : 0;
        }
        assertThat(kept).isEqualTo(256);
    }
}
