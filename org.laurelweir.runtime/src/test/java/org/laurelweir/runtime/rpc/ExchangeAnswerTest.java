package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.wire.v1.ExchangeReply;

/** Tests the decoding of control's answers. */
class ExchangeAnswerTest {
    // Guards against a negative age. The age in milliseconds is an unsigned 32-bit field; read as a
    // signed one, an age of 30 days is negative, and keys would be trusted for weeks.
    @Test
    void settingsAgeAbove31BitsStaysPositive() {
        Duration age = Duration.ofDays(30);
        ExchangeReply reply =
                ExchangeReply.newBuilder().setSettingsAgeMillis((int) age.toMillis()).build();
        assertThat(ExchangeAnswer.of(reply).settingsAge()).contains(age);
    }
}
