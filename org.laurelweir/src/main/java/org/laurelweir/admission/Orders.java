package org.laurelweir.admission;

import org.laurelweir.lib.ResultCode;

/**
 * Passes orders to the backend server in the order of their fencing numbers. Not every backend
 * server checks the number; without this gate, an order of a control leader that was deposed, and
 * doesn't know it yet, would undo a newer one.
 *
 * <p>The highest number seen is kept in memory only. A sidecar that was restarted has forgotten it,
 * so it passes nothing until a control instance that is sure to be up to date has told the highest
 * number issued: every order passed before the restart had one of those.
 */
final class Orders {
    private long mHighest;
    private boolean mHeard;

    /** Notes the highest number issued for this backend server, as control vouches for it. */
    void heard(long fence) {
        mHeard = true;
        mHighest = Math.max(mHighest, fence);
    }

    /** Passes an order on or refuses it. */
    void received(Step step, SidecarEvent.OrderReceived order) {
        if (!mHeard) {
            refuse(step, order, ResultCode.POSSIBLY_STALE, "no fencing number heard since start");
            return;
        }
        if (order.fence() < mHighest) {
            refuse(step, order, ResultCode.STALE_FENCE, "the highest number is " + mHighest);
            return;
        }
        mHighest = order.fence();
        step.emit(
                new SidecarEffect.PassOrder(
                        order.call(), order.kind(), order.argument(), order.fence()));
    }

    private static void refuse(
            Step step, SidecarEvent.OrderReceived order, ResultCode code, String message) {
        step.emit(new SidecarEffect.RefuseOrder(order.call(), code, message));
    }
}
