package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Backend.State;
import org.laurelweir.membership.SidecarReport;

/** When a sidecar's announcements have to win over earlier ones of the same run. */
class SessionCounterTest {
    private final SessionCounter mSessions = new SessionCounter();

    private Backend announce(State state) {
        Backend b = new Backend(new BackendRef("w", 1), "s", "dc", "r", "", state, 1, 0);
        return mSessions.stamp(new SidecarReport(b, 0, 0, 0)).backend();
    }

    // An operator takes a drain order back. The sidecar serves again, and must not be taken for one
    // whose earlier announcement was late.
    @Test
    void servingAgainAfterDrainingSupersedesIt() {
        Backend serving = announce(State.SERVING);
        Backend draining = announce(State.DRAINING);
        assertThat(draining.session()).isEqualTo(serving.session());
        assertThat(announce(State.SERVING).supersedes(draining)).isTrue();
    }

    @Test
    void goesUpToTheLeastSessionAndNotBack() {
        mSessions.raise(7);
        assertThat(announce(State.SERVING).session()).isEqualTo(7);
        mSessions.raise(3);
        assertThat(announce(State.SERVING).session()).isEqualTo(7);
    }
}
