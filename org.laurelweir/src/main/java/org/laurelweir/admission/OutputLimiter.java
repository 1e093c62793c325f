package org.laurelweir.admission;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps output within its bounds. Nothing that a reader still needs is dropped to make room: first
 * go whole answers kept for a resend, the oldest first, then what readers of running attempts have
 * acknowledged; after that the backend server's answers are read no further until there is room.
 */
final class OutputLimiter {
    private final AttemptTable mTable;
    private final AttemptFinisher mFinisher;
    private final OutputTotal mTotal;
    private final Set<Attempt> mPaused = new LinkedHashSet<>();

    OutputLimiter(AttemptTable table, AttemptFinisher endings, OutputTotal total) {
        mTable = table;
        mTotal = total;
        mFinisher = endings;
    }

    /** Acts on a bound that an attempt's new output may have passed. */
    void onOutputAdded(Step step, Attempt attempt, SidecarSettings.OutputLimits limits) {
        boolean ownFull = attempt.output().unacknowledgedBytes() >= limits.attemptBytes();
        if (ownFull || !makeRoom(step, limits)) {
            pause(step, attempt);
        }
    }

    /** Reads on where there is room again. */
    void resumeReading(Step step, SidecarSettings.OutputLimits limits) {
        mPaused.removeIf(a -> a.phase() != Attempt.Phase.RUNNING);
        if (mPaused.isEmpty() || !makeRoom(step, limits)) {
            return;
        }
        Iterator<Attempt> paused = mPaused.iterator();
        while (paused.hasNext()) {
            Attempt a = paused.next();
            // Half of the bound, so that reading does not start and stop with every piece.
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
