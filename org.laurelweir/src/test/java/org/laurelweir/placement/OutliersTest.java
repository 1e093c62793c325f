package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests ejection, its cooldown, and the maximum share of ejected servers. */
class OutliersTest {
    private static final Instant START = Instant.EPOCH;
    private static final OutlierConfig CONFIG =
            new OutlierConfig(2, Duration.ofSeconds(2), Duration.ofSeconds(6), 0.25);

    private final Outliers mOutliers = new Outliers(CONFIG);

    // Guards against a delay at every request while one server is down. The server is ejected after
    // two failures in a row. After the cooldown it is tried again, fails once, and is ejected for
    // twice as long, because a server that is down usually stays down for longer than one try
    // takes.
    @Test
    void cooldownDoublesUpToItsMaximum() {
        Instant now = START;
        assertThat(mOutliers.onFailure("a", 8, now)).isFalse();
        for (int seconds : new int[] {2, 4, 6, 6}) {
            assertThat(mOutliers.onFailure("a", 8, now)).isTrue();
            now = now.plusSeconds(seconds);
            assertThat(mOutliers.isEjected("a", now.minusMillis(1))).isTrue();
            assertThat(mOutliers.isEjected("a", now)).isFalse();
        }
    }

    @Test
    void successClearsTheRecord() {
        mOutliers.onFailure("a", 8, START);
        mOutliers.onSuccess("a");
        assertThat(mOutliers.onFailure("a", 8, START)).isFalse();
    }

    @Test
    void atMostAShareIsEjected() {
        for (int i = 0; i < 8; i++) {
            mOutliers.onFailure("w" + i, 8, START);
            mOutliers.onFailure("w" + i, 8, START);
        }
        assertThat(mOutliers.ejectedCount(START)).isEqualTo(2);
    }

    @Test
    void singleServerIsNeverEjected() {
        mOutliers.onFailure("a", 1, START);
        assertThat(mOutliers.onFailure("a", 1, START)).isFalse();
        assertThat(mOutliers.isEjected("a", START)).isFalse();
    }
}
