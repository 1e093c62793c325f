package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How old a control instance tells routers that its settings may be. */
class SettingsAgeTest {
    /** No router trusts its settings for longer than this without a confirmation. */
    private static final int LONGEST_LEASE = (int) Duration.ofDays(1).toMillis();

    // A step of the clock from long ago to the present made the age come out small or below zero.
    @Test
    void aGreatAgeStaysGreat() {
        for (int days = 1; days <= 20_000; days++) {
            assertThat(ControlRpc.toWire(Duration.ofDays(days).toMillis()))
                    .as("an age of %d days", days)
                    .isGreaterThanOrEqualTo(LONGEST_LEASE);
        }
    }

    @Test
    void anAgeThatFitsIsToldAsItIs() {
        assertThat(ControlRpc.toWire(250)).isEqualTo(250);
    }
}
