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
final class OrderFencing {
    private long mHighestToken;
    private boolean mInitialized;

    /** Notes the highest number issued for this backend server, as control vouches for it. */
    void setHighestIssued(long fence) {
        mInitialized = true;
        mHighestToken = Math.max(mHighestToken, fence);
    }

    /** Passes an order on or refuses it. */
    void onOrder(Step step, SidecarEvent.OrderReceived order) {
        if (!mInitialized) {
            refuse(step, order, ResultCode.POSSIBLY_STALE, "no fencing number heard since start");
            return;
        }
        if (order.fence() < mHighestToken) {
            refuse(step, order, ResultCode.STALE_FENCE, "the highest number is " + mHighestToken);
            return;
        }
        mHighestToken = order.fence();
        step.emit(
                new SidecarEffect.PassOrder(
                        order.call(), order.kind(), order.argument(), order.fence()));
    }

    private static void refuse(
            Step step, SidecarEvent.OrderReceived order, ResultCode code, String message) {
        step.emit(new SidecarEffect.RefuseOrder(order.call(), code, message));
    }
}
