package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/**
 * Tests which servers are asked for prompt parts while data centres are drained, emptied and taken
 * back. Guards against prompts that are read again since an empty server was asked for them.
 */
class ServingHistoryTest {
    private static final String SERVICE = DirectRoutingDriver.SERVICE;
    private static final Instant NOW = Instant.EPOCH;

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(3);
    private final ServingHistory mHistory = new ServingHistory(mDriver);

    private boolean mayHold(String id, Duration time) {
        BackendRef ref = mDriver.backend(id).ref();
        return mHistory.mayHoldParts(SERVICE, ref, NOW.plus(time));
    }

    @Test
    void serversKnownAtTheStartMayHoldParts() {
        assertThat(mayHold("s1", Duration.ZERO)).isTrue();
    }

    @Test
    void newServerMayHoldPartsAfterAWhile() {
        mayHold("s1", Duration.ZERO);
        mDriver.join("joined");
        assertThat(mayHold("joined", Duration.ofSeconds(5))).isFalse();
        assertThat(mayHold("joined", Duration.ofMillis(5500))).isFalse();
        assertThat(mayHold("joined", Duration.ofSeconds(6))).isTrue();
    }

    @Test
    void drainingServerMayHoldPartsForAWhile() {
        mayHold("s1", Duration.ZERO);
        mDriver.drain("s1");
        assertThat(mayHold("s1", Duration.ofSeconds(5))).isTrue();
        assertThat(mayHold("s1", Duration.ofMillis(14_900))).isTrue();
        assertThat(mayHold("s1", Duration.ofSeconds(15))).isFalse();
    }

    @Test
    void serverThatRestartedWhileItsDataCentreIsDrainedHoldsNothing() {
        mayHold("s1", Duration.ZERO);
        mDriver.drain("s1");
        mayHold("s1", Duration.ofSeconds(1));
        mDriver.restart("s1");
        mDriver.drain("s1");
        assertThat(mayHold("s1", Duration.ofSeconds(2))).isFalse();
    }
}
