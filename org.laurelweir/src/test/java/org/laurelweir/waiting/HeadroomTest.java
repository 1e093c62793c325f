package org.laurelweir.waiting;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests the memory that less urgent requests leave free, and the rate of ended requests. */
class HeadroomTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");

    private final Headroom mHeadroom = new Headroom();
    private final EndRate mRate = new EndRate();

    // Guards against less urgent requests that fill the memory again as soon as some is free.
    @Test
    void onlyLessUrgentRequestsLeaveMemoryFree() {
        for (int i = 0; i < 10; i++) {
            mHeadroom.onWaiting(NOW, "svc", 7);
        }
        assertThat(mHeadroom.share(NOW, "svc", 6)).isEqualTo(Headroom.MAX_SHARE);
        assertThat(mHeadroom.share(NOW, "svc", 7)).isZero();
        assertThat(mHeadroom.share(NOW, "other", 6)).isZero();
        assertThat(mHeadroom.admits(NOW, "svc", 6, 810, 1000)).isFalse();
        assertThat(mHeadroom.admits(NOW, "svc", 6, 790, 1000)).isTrue();
        assertThat(mHeadroom.admits(NOW, "svc", 7, 1000, 1000)).isTrue();
        assertThat(mHeadroom.admits(NOW, "svc", 6, 810, 0)).isTrue();
    }

    // Guards against memory that stays unused after the urgent requests.
    @Test
    void shareIsHalvedEachSecondAndGoneAfterTwo() {
        mHeadroom.onWaiting(NOW, "svc", 7);
        double share = mHeadroom.share(NOW, "svc", 6);
        assertThat(mHeadroom.share(NOW.plusMillis(1000), "svc", 6))
                .isCloseTo(share / 2, within(1e-9));
        assertThat(mHeadroom.share(NOW.plusMillis(2000), "svc", 6)).isZero();
        assertThat(mHeadroom.admits(NOW.plusMillis(2000), "svc", 6, 1000, 1000)).isTrue();
    }

    @Test
    void rateIsThatOfTheLastSeconds() {
        for (int i = 0; i < 400; i++) {
            mRate.onEnded(NOW.plusMillis(10 * i), "svc");
        }
        Instant end = NOW.plusMillis(4000);
        assertThat(mRate.perSecond(end, "svc")).isCloseTo(100, within(2.0));
        assertThat(mRate.timeFor(end, "svc", 20).toMillis()).isBetween(195L, 205L);
        assertThat(mRate.perSecond(end.plusSeconds(3), "svc")).isZero();
    }

    // Guards against a router that has just started and refuses by the rate of its first moments.
    @Test
    void rateIsUnknownUntilSomeTimeIsObserved() {
        assertThat(mRate.perSecond(NOW, "svc")).isNaN();
        mRate.onEnded(NOW, "svc");
        assertThat(mRate.perSecond(NOW.plusMillis(400), "svc")).isNaN();
        assertThat(mRate.timeFor(NOW.plusMillis(400), "svc", 50)).isZero();
    }
}
