package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.laurelweir.lib.ResultCode;

/** Orders to a backend server that does not check fencing tokens itself. */
class OrderFencingTest {
    private final SidecarDriver mSidecar = new SidecarDriver();

    private void order(long fence) {
        mSidecar.step(new SidecarEvent.OrderReceived(1, "load", "model-a", fence));
    }

    private ResultCode refusalCode() {
        return mSidecar.take(SidecarEffect.RefuseOrder.class).get(0).code();
    }

    // A deposed control leader does not know of its deposition. Its order reaches the sidecar after
    // an order of the new leader. If it were passed on, it could unload the model that the new
    // leader has just loaded.
    @Test
    void orderWithLowerTokenIsRefused() {
        mSidecar.exchange(SidecarDriver.members(1), 0, false, 4);
        order(5);
        assertThat(mSidecar.take(SidecarEffect.PassOrder.class)).hasSize(1);
        order(4);
        assertThat(refusalCode()).isEqualTo(ResultCode.STALE_FENCE);
        order(5);
        assertThat(mSidecar.take(SidecarEffect.PassOrder.class)).hasSize(1);
    }

    // The sidecar has passed an order with token 9 and restarts. It has lost the token, so an old
    // order with token 8 would pass if the sidecar did not wait for the highest token from control.
    @Test
    void restartedSidecarRefusesOrdersUntilItKnowsTheHighestToken() {
        order(8);
        assertThat(refusalCode()).isEqualTo(ResultCode.POSSIBLY_STALE);
        mSidecar.exchange(SidecarDriver.members(1), 0, false, false, 9);
        order(8);
        assertThat(refusalCode()).isEqualTo(ResultCode.POSSIBLY_STALE);
        mSidecar.exchange(SidecarDriver.members(1), 0, false, 9);
        order(8);
        assertThat(refusalCode()).isEqualTo(ResultCode.STALE_FENCE);
    }
}
