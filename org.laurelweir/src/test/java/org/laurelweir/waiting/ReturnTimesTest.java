package org.laurelweir.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when refused callers are told to return, and the place that they keep. */
class ReturnTimesTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final Place PLACE = new Place(NOW.minusMillis(20), 5);

    private final ReturnTimes mTimes = new ReturnTimes(3);
    private final ReturnTable<String> mTable = new ReturnTable<>(4);

    private void refuse(String key, Instant returnTime) {
        mTable.onRefused(NOW, key, "svc", 5, returnTime, PLACE);
    }

    // Guards against callers that are refused together and return together, also where the time
    // left limits their delays.
    @Test
    void delaysAreSpreadAndWithinAQuarterOfTheTimeLeft() {
        for (long timeLeft : new long[] {1000, 400, 60_000}) {
            Set<Duration> delays = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                Duration d = mTimes.delay(Duration.ofMillis(300), 0, Duration.ofMillis(timeLeft));
                assertThat(d).isBetween(Duration.ofMillis(1), Duration.ofMillis(timeLeft / 4));
                assertThat(d).isLessThanOrEqualTo(ReturnTimes.longest(Duration.ofMillis(timeLeft)));
                delays.add(d);
            }
            assertThat(delays).hasSizeGreaterThan(25);
        }
    }

    @Test
    void delayIsAtLeastTheExpectedTimeAndLongerForAccountsOverTheirShare() {
        Duration timeLeft = Duration.ofSeconds(60);
        Duration expected = Duration.ofMillis(300);
        assertThat(mTimes.delay(expected, 0, timeLeft))
                .isBetween(expected, expected.multipliedBy(2));
        assertThat(mTimes.delay(expected, 3, timeLeft))
                .isGreaterThanOrEqualTo(Duration.ofMillis(900));
    }

    @Test
    void onlyACallerThatReturnsAsToldKeepsItsPlace() {
        refuse("a", NOW.plusMillis(100));
        refuse("b", NOW.plusMillis(100));
        refuse("c", NOW.plusMillis(100));
        assertThat(mTable.takePlace(NOW.plusMillis(99), "a")).isEqualTo(Place.NONE);
        assertThat(mTable.takePlace(NOW.plusMillis(100), "a")).isEqualTo(Place.NONE);
        assertThat(mTable.takePlace(NOW.plusMillis(100), "b")).isEqualTo(PLACE);
        assertThat(mTable.takePlace(NOW.plusMillis(101), "b")).isEqualTo(Place.NONE);
        assertThat(mTable.takePlace(NOW.plusSeconds(60), "c")).isEqualTo(Place.NONE);
    }

    @Test
    void tableIsBoundedAndDropsTheOldestEntry() {
        for (int i = 0; i < 6; i++) {
            refuse("k" + i, NOW.plusMillis(10));
        }
        assertThat(mTable.size()).isEqualTo(4);
        assertThat(mTable.takePlace(NOW.plusMillis(10), "k1")).isEqualTo(Place.NONE);
        assertThat(mTable.takePlace(NOW.plusMillis(10), "k5")).isEqualTo(PLACE);
    }

    @Test
    void countsTheReturnsOfAtLeastAPriority() {
        refuse("a", NOW.plusMillis(100));
        assertThat(mTable.countReturning(NOW, "svc", 5)).isEqualTo(1);
        assertThat(mTable.countReturning(NOW, "svc", 6)).isZero();
        assertThat(mTable.countReturning(NOW, "other", 5)).isZero();
        assertThat(mTable.countReturning(NOW.plusMillis(100), "svc", 5)).isZero();
    }
}
