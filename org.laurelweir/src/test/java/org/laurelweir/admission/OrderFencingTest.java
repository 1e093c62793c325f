package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.laurelweir.lib.ResultCode;

/** Orders to a backend server that does not check fencing numbers itself. */
class OrderFencingTest {
    private final SidecarDriver mSidecar = new SidecarDriver();

    private void order(long fence) {
        mSidecar.step(new SidecarEvent.OrderReceived(1, "load", "model-a", fence));
    }

    private ResultCode refusalCode() {
        return mSidecar.take(SidecarEffect.RefuseOrder.class).get(0).code();
    }

    // A control leader is deposed and doesn't know it. Its order reaches the sidecar after one of
    // the new leader: passed on, it would unload what the new one has just loaded.
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

    // The sidecar was restarted after it had passed an order with number 9. It has forgotten the
    // number, so that an old order with number 8 would pass; control still knows.
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
