package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.wire.v1.ExchangeReply;

/** What an answer of control is taken for. */
class ExchangeAnswerTest {
    // An old confirmation came out with a negative age, and keys were trusted for weeks.
    @Test
    void anOldConfirmationDoesNotLookNewerThanTheAnswer() {
        Duration age = Duration.ofDays(30);
        ExchangeReply reply =
                ExchangeReply.newBuilder().setSettingsAgeMillis((int) age.toMillis()).build();
        assertThat(ExchangeAnswer.of(reply).settingsAge()).contains(age);
    }
}
