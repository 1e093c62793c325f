package org.laurelweir.waiting;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the virtual time of a queue with many client accounts. */
class VirtualTimeTest {
    /** Far above the accounts of a deployment, so that a scan for each request takes minutes. */
    private static final int ACCOUNTS = 300_000;

    private static final Duration MAX_TIME = Duration.ofSeconds(10);

    private final VirtualTime mTime = new VirtualTime();

    // Guards against a cost in proportion to all accounts with each request. The virtual time
    // stands still while each account sends its first request, so that no tag has passed.
    @Test
    void costOfARequestDoesNotGrowWithTheAccounts() {
        assertTimeoutPreemptively(
                MAX_TIME,
                () -> {
                    for (int i = 0; i < ACCOUNTS; i++) {
                        mTime.onServed(mTime.takeTag("account-" + i, 1));
                    }
                });
        assertThat(mTime.now()).isZero();
    }

    // Guards against an account that loses its place in the order while others are forgotten.
    @Test
    void tagsStillToComeOutlastACleanup() {
        mTime.takeTag("large", 1_000);
        for (int i = 0; i < 5_000; i++) {
            mTime.onServed(mTime.takeTag("small", 0.1));
            mTime.onServed(mTime.takeTag("account-" + i, 0.05));
        }
        assertThat(mTime.now()).isLessThan(1_000);
        assertThat(mTime.takeTag("large", 1)).isEqualTo(1_000);
    }
}
