package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/**
 * Ends what has taken, or was kept, long enough, and breaks silences that last too long. Looks only
 * at attempts that changed or about which something is due: with a look at each, a tick would take
 * longer the more there are.
 */
final class Timeouts {
    private final DueQueue mDueQueue = new DueQueue();
    private final AttemptTable mTable;
    private final AttemptFinisher mFinisher;
    private final Execution mExecution;
    private final FollowingStreams mStreams;
    private SidecarSettings mSettings = SidecarSettings.DEFAULT;

    Timeouts(
            AttemptTable table,
            AttemptFinisher endings,
            Execution execution,
            FollowingStreams followers) {
        mTable = table;
        mFinisher = endings;
        mExecution = execution;
        mStreams = followers;
    }

    void checkDue(Step step, SidecarSettings settings) {
        if (!settings.equals(mSettings)) {
            mSettings = settings;
            mTable.attempts().forEach(this::schedule);
        }
        mTable.takeChanged().forEach(this::schedule);
        for (Attempt a : mDueQueue.takeDue(step.now())) {
            checkOne(step, a, settings);
            schedule(a);
        }
    }

    private void schedule(Attempt attempt) {
        if (mTable.contains(attempt)) {
            mDueQueue.schedule(attempt, nextCheckTime(attempt));
        } else {
            mDueQueue.remove(attempt);
        }
    }

    /** Returns when to look at an attempt again, if it does not change before; never too late. */
    private Instant nextCheckTime(Attempt attempt) {
        Instant next = timeoutTime(attempt);
        if (!attempt.isFollowed()) {
            return next;
        }
        return earlier(next, attempt.lastFrameTime().plus(mSettings.progressInterval()));
    }

    private Instant timeoutTime(Attempt attempt) {
        if (attempt.phase() == Attempt.Phase.ENDED) {
            return outputExpiry(attempt, mSettings.output().keepTime());
        }
        if (attempt.phase() == Attempt.Phase.WAITING) {
            return Instant.MAX;
        }
        Instant latest = runDeadline(attempt, mSettings);
        return isAbandoned(attempt) ? earlier(latest, abandonedExpiry(attempt, mSettings)) : latest;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    private void checkOne(Step step, Attempt attempt, SidecarSettings settings) {
        if (attempt.phase() == Attempt.Phase.RUNNING) {
            checkRunning(step, attempt, settings);
        } else if (attempt.phase() == Attempt.Phase.ENDED) {
            checkEnded(step, attempt, settings.output().keepTime());
        }
        if (mTable.contains(attempt)) {
            mStreams.sendProgress(step, attempt, settings.progressInterval());
        }
    }

    private void checkRunning(Step step, Attempt attempt, SidecarSettings settings) {
        if (!step.now().isBefore(runDeadline(attempt, settings))) {
            String message = "no whole answer within the deadline";
            mExecution.abort(step, attempt, ResultCode.DEADLINE_EXCEEDED, message);
            return;
        }
        if (isAbandoned(attempt) && !step.now().isBefore(abandonedExpiry(attempt, settings))) {
            mExecution.abort(step, attempt, ResultCode.CANCELLED, "nobody follows");
        }
    }

    private static boolean isAbandoned(Attempt attempt) {
        return !attempt.isFollowed() && attempt.isCancellable();
    }

    /** Returns how long an attempt that nobody follows goes on. */
    private static Instant abandonedExpiry(Attempt attempt, SidecarSettings settings) {
        return attempt.unfollowedSince().plus(settings.output().keepTime());
    }

    /**
     * Returns when an attempt that still runs is given up. One whose outcome a resend will ask for
     * may take as long as a drain would wait for it: its caller's deadline is not the resend's.
     */
    private static Instant runDeadline(Attempt attempt, SidecarSettings settings) {
        Duration extra = attempt.isCancellable() ? Duration.ZERO : settings.drainTimeout();
        return attempt.deadline().plus(extra);
    }

    private void checkEnded(Step step, Attempt attempt, Duration keepTime) {
        if (!step.now().isBefore(outputExpiry(attempt, keepTime))) {
            mFinisher.drop(step, attempt);
        }
    }

    private static Instant outputExpiry(Attempt attempt, Duration keepTime) {
        Duration wanted = attempt.request().outputKeepTime();
        return attempt.endTime().plus(wanted.compareTo(keepTime) > 0 ? wanted : keepTime);
    }
}
