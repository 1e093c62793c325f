package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Backend.State;
import org.laurelweir.membership.SidecarReport;

/** Tests when a sidecar's announcements supersede earlier ones of the same incarnation. */
class SessionCounterTest {
    private final SessionCounter mSessions = new SessionCounter();

    private Backend announce(State state) {
        Backend b = new Backend(new BackendRef("w", 1), "s", "dc", "r", "", state, 1, 0);
        return mSessions.stamp(new SidecarReport(b, 0, 0, 0)).backend();
    }

    // An operator cancels a drain order and the sidecar serves again. Its announcement must not
    // look like an older one that arrives late.
    @Test
    void servingAfterDrainingSupersedesDraining() {
        Backend serving = announce(State.SERVING);
        Backend draining = announce(State.DRAINING);
        assertThat(draining.session()).isEqualTo(serving.session());
        assertThat(announce(State.SERVING).supersedes(draining)).isTrue();
    }

    @Test
    void raisesSessionButNeverLowersIt() {
        mSessions.raiseTo(7);
        assertThat(announce(State.SERVING).session()).isEqualTo(7);
        mSessions.raiseTo(3);
        assertThat(announce(State.SERVING).session()).isEqualTo(7);
    }
}
