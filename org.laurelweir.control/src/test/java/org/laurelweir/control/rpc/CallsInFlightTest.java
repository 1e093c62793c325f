package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the limits on messages to a peer that does not answer. */
class CallsInFlightTest {
    private static final int LARGE = 600_000;

    private final CallsInFlight mInFlight = new CallsInFlight();

    // Guards against a leader whose memory fills up while a follower is silent: an entry is sent
    // again with each heartbeat, and no message is answered. A limit on the number of messages
    // alone does not prevent that.
    @Test
    void boundsLargeMessagesToASilentPeerAndLetsHeartbeatsPass() {
        int sent = 0;
        while (mInFlight.tryBegin(LARGE)) {
            sent++;
        }
        assertThat(sent).isEqualTo(2);
        assertThat(mInFlight.tryBegin(100)).isTrue();
        mInFlight.end(LARGE);
        assertThat(mInFlight.tryBegin(LARGE)).isTrue();
    }
}
