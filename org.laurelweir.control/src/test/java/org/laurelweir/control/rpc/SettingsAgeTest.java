package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests the settings age that a control instance sends to routers. */
class SettingsAgeTest {
    /** The longest time for which a router uses settings without a confirmation. */
    private static final int MAX_LEASE_MILLIS = (int) Duration.ofDays(1).toMillis();

    // Guards against an age that overflows its field, and then looks small or negative, after the
    // clock jumps from a date long ago to the present.
    @Test
    void aLargeAgeDoesNotOverflow() {
        for (int days = 1; days <= 20_000; days++) {
            assertThat(ControlRpc.ageToWire(Duration.ofDays(days).toMillis()))
                    .as("an age of %d days", days)
                    .isGreaterThanOrEqualTo(MAX_LEASE_MILLIS);
        }
    }

    @Test
    void anAgeThatFitsIsSentUnchanged() {
        assertThat(ControlRpc.ageToWire(250)).isEqualTo(250);
    }
}
