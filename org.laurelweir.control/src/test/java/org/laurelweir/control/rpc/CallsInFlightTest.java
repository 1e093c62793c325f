package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What is under way to a peer that takes nothing. */
class CallsInFlightTest {
    private static final int LARGE = 600_000;

    private final CallsInFlight mInFlight = new CallsInFlight();

    // Operators see: a leader that takes ever more memory while a follower is silent. Order: an
    // entry is repeated with each heartbeat, and none of the messages is answered. Why: they were
    // counted, and not weighed.
    @Test
    void largeMessagesToASilentPeerAreBoundedAndHeartbeatsStillPass() {
        int begun = 0;
        while (mInFlight.begin(LARGE)) {
            begun++;
        }
        assertThat(begun).isEqualTo(2);
        assertThat(mInFlight.begin(100)).isTrue();
        mInFlight.end(LARGE);
        assertThat(mInFlight.begin(LARGE)).isTrue();
    }
}
