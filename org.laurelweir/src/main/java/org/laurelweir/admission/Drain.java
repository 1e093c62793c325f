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
    private final ChatQuestions mQuestions;
    private final ChatHomes mHomes;
    private final Execution mExecution;
    private boolean mOrdered;
    private Instant mStopRequested;
    private boolean mStopped;

    Drain(
            AttemptTable table,
            Admission admission,
            ChatQuestions questions,
            ChatHomes homes,
            Execution execution) {
        mTable = table;
        mAdmission = admission;
        mQuestions = questions;
        mHomes = homes;
        mExecution = execution;
    }

    /** Takes the operator's wish, as control repeats it with every exchange. */
    void order(Step step, boolean drain) {
        boolean before = isDraining();
        mOrdered = drain;
        changed(step, before);
    }

    /** Takes the wish that the process stops. */
    void stop(Step step) {
        boolean before = isDraining();
        if (mStopRequested == null) {
            mStopRequested = step.now();
        }
        changed(step, before);
    }

    private void changed(Step step, boolean before) {
        if (isDraining() && !before) {
            mHomes.handOver(step);
            mQuestions.all().forEach(a -> turnAway(step, a));
            mAdmission.turnAllAway(step, code(), AdmissionReason.DRAINING);
        }
        if (!isDraining() && before) {
            mHomes.joined(step.now());
        }
    }

    /** Refuses an attempt that has not started. */
    void turnAway(Step step, Attempt attempt) {
        mQuestions.forget(attempt);
        mAdmission.turnAway(step, attempt, code(), AdmissionReason.DRAINING);
    }

    boolean isDraining() {
        return mOrdered || mStopRequested != null;
    }

    boolean isStopped() {
        return mStopped;
    }

    private ResultCode code() {
        return mStopRequested != null ? ResultCode.SHUTTING_DOWN : ResultCode.DRAINING;
    }

    /**
     * Ends a stop once every attempt's ending went out, or once it has taken as long as it may.
     *
     * @return whether the stop has ended just now
     */
    boolean endStop(Step step, Duration timeout) {
        if (mStopped || mStopRequested == null) {
            return false;
        }
        if (!mStopRequested.plus(timeout).isAfter(step.now())) {
            giveUpRunning(step);
        }
        mStopped = mTable.all().stream().allMatch(Attempt::isEndingSent);
        return mStopped;
    }

    private void giveUpRunning(Step step) {
        for (Attempt a : mTable.all()) {
            if (a.phase() == Attempt.Phase.RUNNING) {
                mExecution.cancel(step, a, ResultCode.OUTCOME_UNKNOWN, "the sidecar had to stop");
            }
            a.setEndingSent();
        }
    }
}
