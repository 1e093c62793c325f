package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/**
 * Drains the backend server on an operator's order, because it says that it leaves, or because the
 * sidecar stops.
 *
 * <p>While it drains, nothing new starts, waiting attempts are refused as not run, and running
 * attempts complete. The chat directory goes to the servers that become the chats' homes. An
 * operator's order can be withdrawn, a stop can't.
 */
final class Drain {
    private final AttemptTable mTable;
    private final Admission mAdmission;
    private final PendingChatLookups mLookups;
    private final ChatLocations mChatLocations;
    private final Execution mExecution;
    private boolean mOrdered;
    private boolean mLeaving;
    private Instant mStopRequestTime;
    private boolean mStopped;

    Drain(
            AttemptTable table,
            Admission admission,
            PendingChatLookups lookups,
            ChatLocations chatLocations,
            Execution execution) {
        mTable = table;
        mAdmission = admission;
        mLookups = lookups;
        mChatLocations = chatLocations;
        mExecution = execution;
    }

    /**
     * Sets whether an operator wants this server drained. Control repeats the order in every
     * exchange.
     */
    void setOrdered(Step step, boolean ordered) {
        boolean wasDraining = isDraining();
        mOrdered = ordered;
        onDrainingChanged(step, wasDraining);
    }

    /** Sets whether the backend server says that it leaves. */
    void setLeaving(Step step, boolean leaving) {
        boolean wasDraining = isDraining();
        mLeaving = leaving;
        onDrainingChanged(step, wasDraining);
    }

    /** Starts the drain before the process stops. */
    void requestStop(Step step) {
        boolean wasDraining = isDraining();
        if (mStopRequestTime == null) {
            mStopRequestTime = step.now();
        }
        onDrainingChanged(step, wasDraining);
    }

    private void onDrainingChanged(Step step, boolean wasDraining) {
        if (isDraining() && !wasDraining) {
            mChatLocations.handOverDirectory(step);
            mLookups.waitingAttempts().forEach(a -> refuse(step, a));
            mAdmission.refuseAllWaiting(step, refusalCode(), AdmissionReason.DRAINING);
        }
        if (!isDraining() && wasDraining) {
            mChatLocations.onJoined(step.now());
        }
    }

    /** Refuses an attempt that has not started. */
    void refuse(Step step, Attempt attempt) {
        mLookups.remove(attempt);
        mAdmission.refuseNewWork(step, attempt, refusalCode(), AdmissionReason.DRAINING);
    }

    boolean isDraining() {
        return mOrdered || mLeaving || mStopRequestTime != null;
    }

    boolean isStopped() {
        return mStopped;
    }

    private ResultCode refusalCode() {
        return mStopRequestTime != null ? ResultCode.SHUTTING_DOWN : ResultCode.DRAINING;
    }

    /**
     * Completes a stop once the final frames of all attempts are sent, or once the drain timeout is
     * over.
     *
     * @return whether this call completed the stop
     */
    boolean finishStop(Step step, Duration timeout) {
        if (mStopped || mStopRequestTime == null) {
            return false;
        }
        if (!mStopRequestTime.plus(timeout).isAfter(step.now())) {
            abortRunning(step);
        }
        mStopped = mTable.attempts().stream().allMatch(Attempt::isFinalFrameSent);
        return mStopped;
    }

    private void abortRunning(Step step) {
        for (Attempt a : mTable.attempts()) {
            if (a.phase() == Attempt.Phase.RUNNING) {
                mExecution.abort(
                        step,
                        a,
                        ResultCode.OUTCOME_UNKNOWN,
                        "the sidecar stopped before the answer was complete");
            }
            a.setFinalFrameSent();
        }
    }
}
