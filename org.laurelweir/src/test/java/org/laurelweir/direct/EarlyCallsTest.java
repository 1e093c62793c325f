package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/**
 * Load pattern: a router is killed, or all of them are, while callers keep coming. The balancer
 * still sends it a share of them when it listens again, some tenths of a second before it has
 * settings, or one to two seconds.
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
        assertThat(mCalls.takeOverdue(after(300))).isEmpty();
        assertThat(mCalls.takeAll()).hasSize(20).startsWith("call0", "call1");
        assertThat(mCalls.isEmpty()).isTrue();
    }

    @Test
    void aCallerIsTurnedAwayWhileItHasMostOfItsTime() {
        mCalls.keep(START, 1, SHORT, "short");
        mCalls.keep(START, 2, LONG, "long");
        assertThat(mCalls.takeOverdue(after(499))).isEmpty();
        assertThat(mCalls.takeOverdue(after(500))).containsExactly("short");
        assertThat(mCalls.takeOverdue(after(1599))).isEmpty();
        assertThat(mCalls.takeOverdue(after(1600))).containsExactly("long");
    }

    @Test
    void afterAStartOfEverythingCallersAreServedWithTheFirstSettings() {
        // All routers start at once on small machines and have no settings for 1.5 s. Callers come
        // all the while. One that is turned away comes back after the settings, as its only retry,
        // and later than one that waited; so none whose time allows it is turned away before.
        Duration time = Duration.ofSeconds(5);
        int callers = 15;
        for (int i = 0; i < callers; i++) {
            mCalls.keep(after(100 * i), i, time, "call" + i);
            assertThat(mCalls.takeOverdue(after(100 * i))).isEmpty();
        }
        assertThat(mCalls.takeAll()).hasSize(callers);
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
