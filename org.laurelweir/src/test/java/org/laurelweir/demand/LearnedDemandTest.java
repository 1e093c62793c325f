package org.laurelweir.demand;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Tests what is learned of outputs and speeds. */
class LearnedDemandTest {
    private static final Instant START = Instant.EPOCH;

    private final OutputEstimator mOutputs = new OutputEstimator();
    private final ServerSpeeds mSpeeds = new ServerSpeeds();
    private final ServiceSpeed mService = new ServiceSpeed();

    // Guards against hints that are far off, and against too little memory kept for a new route.
    @Test
    void hintCountsOnlyBetweenHalfTheMedianAndTheHighQuantile() {
        assertThat(mOutputs.expectedTokens("r", 10, 500)).isEqualTo(500);
        for (int i = 1; i <= 100; i++) {
            mOutputs.onCompleted("r", 200 + i % 10 * 10);
        }
        int median = mOutputs.expectedTokens("r", 0, 500);
        assertThat(median).isBetween(240, 260);
        assertThat(mOutputs.expectedTokens("r", 270, 500)).isEqualTo(270);
        assertThat(mOutputs.expectedTokens("r", 1, 500)).isEqualTo(median / 2);
        assertThat(mOutputs.expectedTokens("r", 9000, 500)).isBetween(280, 290);
        assertThat(mOutputs.expectedTokens("r", 0, 100)).isEqualTo(100);
    }

    @Test
    void slownessDecaysToOne() {
        ServerSpeed speed = mSpeeds.of(new BackendRef("s", 1));
        for (int i = 0; i < 20; i++) {
            speed.onTime(START, 2, 1);
        }
        assertThat(speed.slowness(START)).isGreaterThan(1.8);
        assertThat(speed.slowness(START.plus(Duration.ofMinutes(5)))).isCloseTo(1, within(0.01));
    }

    // Guards against counting a slow machine twice: in the work time and in the learned speed.
    @Test
    void freshWorkTimeExplainsTheTimesMeasuredUnderIt() {
        ServerSpeed speed = mSpeeds.of(new BackendRef("s", 1));
        for (int i = 0; i < 20; i++) {
            speed.onWorkTime(START, 250);
            speed.onTime(START, 2.5, 1);
        }
        assertThat(speed.slowness(START)).isCloseTo(2.5, within(0.01));
        speed.onWorkTime(START, 100);
        assertThat(speed.slowness(START)).isCloseTo(1, within(0.01));
        assertThat(speed.slowness(START.plusSeconds(2))).isGreaterThan(2);
    }

    // Guards against a work time that stays in use until a clock set back catches up.
    @Test
    void workTimeFromBeforeTheClockIsSetBackIsNotUsed() {
        ServerSpeed speed = mSpeeds.of(new BackendRef("s", 1));
        speed.onWorkTime(START.plusSeconds(3600), 1000);
        assertThat(speed.slowness(START.plusSeconds(2))).isEqualTo(1);
    }

    // Guards against speeds of an earlier run, and against records that stay for ever.
    @Test
    void speedsAreForgottenWithTheIncarnation() {
        BackendRef first = new BackendRef("s", 1);
        BackendRef second = new BackendRef("s", 2);
        for (int i = 0; i < 20; i++) {
            mSpeeds.of(first).onTime(START, 3, 1);
        }
        assertThat(mSpeeds.slowness(START, second)).isEqualTo(1);
        mSpeeds.of(second);
        mSpeeds.of(first).onTime(START, 3, 1);
        assertThat(mSpeeds.slowness(START, second)).isEqualTo(1);
        assertThat(mSpeeds.slowness(START, first)).isEqualTo(1);
        mSpeeds.prune(ref -> false);
        assertThat(mSpeeds.size()).isZero();
    }

    @Test
    void baseTimeAndPrefillRateAreLearnedFromPromptsOfDifferentSizes() {
        for (int i = 0; i < 60; i++) {
            int tokens = i % 3 == 0 ? 9200 : 700;
            mService.onFirstEvent(START, tokens, 30 + tokens / 40.0);
        }
        assertThat(mService.firstEventMillis(START, 9200)).isCloseTo(260, within(15.0));
        assertThat(mService.firstEventMillis(START, 700)).isCloseTo(47, within(15.0));
    }

    // Guards against a rate from chance differences between prompts of nearly one size.
    @Test
    void promptsOfOneSizeDoNotChangeThePrefillRate() {
        for (int i = 0; i < 60; i++) {
            mService.onFirstEvent(START, 700 + i % 2, i % 2 == 0 ? 40 : 80);
        }
        assertThat(mService.firstEventMillis(START, 701)).isCloseTo(60, within(2.0));
        assertThat(mService.firstEventMillis(START, 9701)).isCloseTo(360, within(30.0));
    }
}
