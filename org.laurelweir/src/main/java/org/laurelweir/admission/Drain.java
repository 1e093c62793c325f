package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/** Whether the sidecar takes new work, by an operator's wish or because the process stops. */
final class Drain {
    private boolean mOrdered;
    private Instant mStopRequested;

    /** Notes the operator's wish. */
    void setOrdered(boolean ordered) {
        mOrdered = ordered;
    }

    /** Notes that the process was asked to stop; there is no way back. */
    void stop(Instant now) {
        if (mStopRequested == null) {
            mStopRequested = now;
        }
    }

    boolean isDraining() {
        return mOrdered || mStopRequested != null;
    }

    boolean isStopping() {
        return mStopRequested != null;
    }

    /** Returns why nothing new is taken; only while draining. */
    ResultCode code() {
        return isStopping() ? ResultCode.SHUTTING_DOWN : ResultCode.DRAINING;
    }

    /** Returns whether a stop has waited as long as it may. */
    boolean isOverdue(Instant now, Duration timeout) {
        return isStopping() && !mStopRequested.plus(timeout).isAfter(now);
    }
}
