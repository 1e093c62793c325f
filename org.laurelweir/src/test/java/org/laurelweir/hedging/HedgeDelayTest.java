package org.laurelweir.hedging;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests after which time a request is hedged. */
class HedgeDelayTest {
    private static final Duration OBJECTIVE = Duration.ofMillis(200);

    private final HedgeDelay mDelay = new HedgeDelay();

    private void record(int count, long millis, Instant now) {
        for (int i = 0; i < count; i++) {
            mDelay.onFirstData("r", Duration.ofMillis(millis), now);
        }
    }

    private HedgeDelay.Due due(long waitedMillis, double factor, Instant now) {
        return mDelay.due("r", OBJECTIVE, Duration.ofMillis(waitedMillis), factor, now);
    }

    private static HedgeDelay.Due dueAfter(long millis, boolean canMeetObjective) {
        return new HedgeDelay.Due(Duration.ofMillis(millis), canMeetObjective);
    }

    // Guards against a quantile of a few times, which is their maximum.
    @Test
    void halfOfTheTargetAppliesUntilThereAreTwentyTimes() {
        record(19, 10, Instant.EPOCH);
        assertThat(due(0, 1, Instant.EPOCH)).isEqualTo(dueAfter(100, true));
        record(1, 10, Instant.EPOCH);
        Instant later = Instant.EPOCH.plusMillis(100);
        assertThat(due(0, 1, later)).isEqualTo(dueAfter(10, true));
    }

    @Test
    void delayIsTheQuantileAndGrowsWithTheWorkTimeOfTheServer() {
        record(94, 20, Instant.EPOCH);
        record(6, 60, Instant.EPOCH);
        assertThat(due(0, 1, Instant.EPOCH)).isEqualTo(dueAfter(60, true));
        assertThat(due(0, 0.5, Instant.EPOCH)).isEqualTo(dueAfter(60, true));
        assertThat(due(0, 2, Instant.EPOCH)).isEqualTo(dueAfter(120, true));
    }

    // Guards against a copy that is sent when it can only be answered after the target.
    @Test
    void copyIsSentEarlyEnoughToMeetTheTargetOrCountsAsTooLate() {
        record(90, 50, Instant.EPOCH);
        record(10, 400, Instant.EPOCH);
        assertThat(due(0, 1, Instant.EPOCH)).isEqualTo(dueAfter(150, true));
        assertThat(due(80, 1, Instant.EPOCH)).isEqualTo(dueAfter(70, true));
        assertThat(due(120, 1, Instant.EPOCH)).isEqualTo(dueAfter(400, false));
    }

    // Guards against a delay from a time of other load, and against records without a bound.
    @Test
    void timesAreForgottenAfterThirtySecondsAndWhenThereAreManyLaterOnes() {
        record(30, 10, Instant.EPOCH);
        Instant later = Instant.EPOCH.plusSeconds(31);
        assertThat(due(0, 1, later)).isEqualTo(dueAfter(100, true));
        record(1000, 40, later);
        record(256, 30, later);
        assertThat(due(0, 1, later.plusMillis(100))).isEqualTo(dueAfter(30, true));
    }

    // Guards against quantiles that stay in use, however old, until a clock set back catches up.
    @Test
    void quantilesAreComputedAgainAfterTheClockIsSetBack() {
        Instant ahead = Instant.EPOCH.plusSeconds(3600);
        record(256, 60, ahead);
        assertThat(due(0, 1, ahead)).isEqualTo(dueAfter(60, true));
        record(256, 10, Instant.EPOCH);
        assertThat(due(0, 1, Instant.EPOCH)).isEqualTo(dueAfter(10, true));
    }
}
