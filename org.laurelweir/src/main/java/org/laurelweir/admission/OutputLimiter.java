package org.laurelweir.admission;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps buffered output within its limits without dropping output that a reader still needs.
 *
 * <p>If the total limit is reached, whole delivered answers that are kept for a resend are dropped
 * first, the oldest first; then the acknowledged output of running attempts. If that is not enough,
 * the sidecar stops reading the backend server's answers until there is room.
 */
final class OutputLimiter {
    private final AttemptTable mTable;
    private final AttemptFinisher mFinisher;
    private final OutputTotal mTotal;
    private final Set<Attempt> mPaused = new LinkedHashSet<>();

    OutputLimiter(AttemptTable table, AttemptFinisher finisher, OutputTotal total) {
        mTable = table;
        mTotal = total;
        mFinisher = finisher;
    }

    /** Enforces the limits after an attempt has received output. */
    void onOutputAdded(Step step, Attempt attempt, SidecarSettings.OutputLimits limits) {
        boolean attemptFull = attempt.output().unacknowledgedBytes() >= limits.attemptBytes();
        if (attemptFull || !makeRoom(step, limits)) {
            pause(step, attempt);
        }
    }

    /** Resumes reading the paused answers that have room again. */
    void resumeReading(Step step, SidecarSettings.OutputLimits limits) {
        mPaused.removeIf(a -> a.phase() != Attempt.Phase.RUNNING);
        if (mPaused.isEmpty() || !makeRoom(step, limits)) {
            return;
        }
        Iterator<Attempt> paused = mPaused.iterator();
        while (paused.hasNext()) {
            Attempt a = paused.next();
            // Resume at half of the limit, so that reading does not stop and start with every
            // piece.
            if (a.output().unacknowledgedBytes() <= limits.attemptBytes() / 2) {
                paused.remove();
                step.emit(new SidecarEffect.SetEngineCallReading(a.id(), true));
            }
        }
    }

    private void pause(Step step, Attempt attempt) {
        if (mPaused.add(attempt)) {
            step.emit(new SidecarEffect.SetEngineCallReading(attempt.id(), false));
        }
    }

    private boolean makeRoom(Step step, SidecarSettings.OutputLimits limits) {
        if (mTotal.bytes() < limits.totalBytes()) {
            return true;
        }
        for (Attempt a : mTable.attempts()) {
            boolean delivered = a.phase() == Attempt.Phase.ENDED && a.isFinalFrameSent();
            if (delivered && mTotal.bytes() >= limits.totalBytes()) {
                mFinisher.drop(step, a);
            }
        }
        if (mTotal.bytes() >= limits.totalBytes()) {
            mTable.attempts().forEach(a -> a.output().dropAcknowledged());
        }
        return mTotal.bytes() < limits.totalBytes();
    }
}
