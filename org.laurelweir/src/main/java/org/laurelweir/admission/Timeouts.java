package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/** Ends what has taken, or was kept, long enough. */
final class Timeouts {
    private final AttemptTable mTable;
    private final Endings mEndings;
    private final Execution mExecution;

    Timeouts(AttemptTable table, Endings endings, Execution execution) {
        mTable = table;
        mEndings = endings;
        mExecution = execution;
    }

    void check(Step step, SidecarSettings settings) {
        for (Attempt a : mTable.all()) {
            if (a.phase() == Attempt.Phase.RUNNING) {
                checkRunning(step, a, settings);
            } else if (a.phase() == Attempt.Phase.ENDED) {
                checkKept(step, a, settings.output().keepTime());
            }
        }
    }

    private void checkRunning(Step step, Attempt attempt, SidecarSettings settings) {
        if (!step.now().isBefore(latestEnd(attempt, settings))) {
            String message = "no whole answer within the deadline";
            mExecution.cancel(step, attempt, ResultCode.DEADLINE_EXCEEDED, message);
            return;
        }
        boolean unfollowed = !attempt.isFollowed() && attempt.isCancellable();
        Instant until = attempt.followedUntil().plus(settings.output().keepTime());
        if (unfollowed && !step.now().isBefore(until)) {
            mExecution.cancel(step, attempt, ResultCode.CANCELLED, "nobody follows");
        }
    }

    /**
     * Returns when an attempt that still runs is given up. One whose outcome a resend will ask for
     * may take as long as a drain would wait for it: its caller's deadline is not the resend's.
     */
    private static Instant latestEnd(Attempt attempt, SidecarSettings settings) {
        Duration extra = attempt.isCancellable() ? Duration.ZERO : settings.drainTimeout();
        return attempt.deadline().plus(extra);
    }

    private void checkKept(Step step, Attempt attempt, Duration keepTime) {
        Duration wanted = attempt.request().keepOutput();
        Duration keep = wanted.compareTo(keepTime) > 0 ? wanted : keepTime;
        if (!step.now().isBefore(attempt.ended().plus(keep))) {
            mEndings.drop(step, attempt);
        }
    }
}
