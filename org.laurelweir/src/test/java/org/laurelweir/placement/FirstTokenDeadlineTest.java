package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the check of a first token's deadline. */
class FirstTokenDeadlineTest {
    private static final Duration GRACE = Duration.ofMillis(200);

    @Test
    void promptThatIsLateOnAnyServerIsStillRun() {
        assertThat(isReachable(200, 5000, 1100)).isTrue();
        assertThat(isReachable(201, 5000, 1100)).isFalse();
    }

    @Test
    void earlierPromptsMayUseTheRestOfTheDeadline() {
        assertThat(isReachable(1000, 100, 1100)).isTrue();
        assertThat(isReachable(1001, 100, 1100)).isFalse();
    }

    private static boolean isReachable(long ahead, long own, long left) {
        return FirstTokenDeadline.isReachable(
                Duration.ofMillis(ahead), Duration.ofMillis(own), Duration.ofMillis(left), GRACE);
    }
}
