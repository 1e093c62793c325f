package org.laurelweir.admission;

import org.laurelweir.lib.ResultCode;

/**
 * Passes orders to the backend server only if their fencing tokens do not fall. Not every backend
 * server checks the token. Without this check, an order of a deposed control leader that does not
 * know of its deposition could undo a newer order.
 *
 * <p>The highest token is kept in memory only. After a restart the sidecar refuses all orders until
 * a control instance that is confirmed to be up to date has sent the highest token issued. Every
 * order passed before the restart had that token or a lower one.
 */
final class OrderFencing {
    private long mHighestToken;
    private boolean mInitialized;

    /**
     * Records the highest token issued for this backend server. Call it only with a value that
     * control confirmed to be up to date.
     */
    void setHighestIssued(long fence) {
        mInitialized = true;
        mHighestToken = Math.max(mHighestToken, fence);
    }

    /** Passes an order to the backend server or refuses it. */
    void onOrder(Step step, SidecarEvent.OrderReceived order) {
        if (!mInitialized) {
            refuse(
                    step,
                    order,
                    ResultCode.POSSIBLY_STALE,
                    "no fencing token received from control since the sidecar started");
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
