package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/**
 * Leaving, by an operator's wish or because the process stops. From then on nothing new starts;
 * what waits is refused as not run, what runs goes on to its end, and the directory of chats goes
 * to those that become their homes. An operator's wish can be taken back, a stop can't.
 */
final class Drain {
    private final AttemptTable mTable;
    private final Admission mAdmission;
    private final PendingChatLookups mLookups;
    private final ChatLocations mChatLocations;
    private final Execution mExecution;
    private boolean mOrdered;
    private Instant mStopRequestTime;
    private boolean mStopped;

    Drain(
            AttemptTable table,
            Admission admission,
            PendingChatLookups questions,
            ChatLocations homes,
            Execution execution) {
        mTable = table;
        mAdmission = admission;
        mLookups = questions;
        mChatLocations = homes;
        mExecution = execution;
    }

    /** Takes the operator's wish, as control repeats it with every exchange. */
    void setOrdered(Step step, boolean drain) {
        boolean before = isDraining();
        mOrdered = drain;
        onDrainingChanged(step, before);
    }

    /** Takes the wish that the process stops. */
    void requestStop(Step step) {
        boolean before = isDraining();
        if (mStopRequestTime == null) {
            mStopRequestTime = step.now();
        }
        onDrainingChanged(step, before);
    }

    private void onDrainingChanged(Step step, boolean before) {
        if (isDraining() && !before) {
            mChatLocations.handOverDirectory(step);
            mLookups.waitingAttempts().forEach(a -> refuse(step, a));
            mAdmission.refuseAllWaiting(step, refusalCode(), AdmissionReason.DRAINING);
        }
        if (!isDraining() && before) {
            mChatLocations.onJoined(step.now());
        }
    }

    /** Refuses an attempt that has not started. */
    void refuse(Step step, Attempt attempt) {
        mLookups.remove(attempt);
        mAdmission.refuseNewWork(step, attempt, refusalCode(), AdmissionReason.DRAINING);
    }

    boolean isDraining() {
        return mOrdered || mStopRequestTime != null;
    }

    boolean isStopped() {
        return mStopped;
    }

    private ResultCode refusalCode() {
        return mStopRequestTime != null ? ResultCode.SHUTTING_DOWN : ResultCode.DRAINING;
    }

    /**
     * Ends a stop once every attempt's ending went out, or once it has taken as long as it may.
     *
     * @return whether the stop has ended just now
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
                mExecution.abort(step, a, ResultCode.OUTCOME_UNKNOWN, "the sidecar had to stop");
            }
            a.setFinalFrameSent();
        }
    }
}
