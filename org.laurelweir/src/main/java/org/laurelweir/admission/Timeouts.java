package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/**
 * Aborts attempts that run too long or that no stream follows, drops ended attempts after their
 * retention, and sends progress frames. Each tick checks only the attempts that changed or are due,
 * so that its cost does not grow with the number of attempts held.
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
            AttemptFinisher finisher,
            Execution execution,
            FollowingStreams streams) {
        mTable = table;
        mFinisher = finisher;
        mExecution = execution;
        mStreams = streams;
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

    /**
     * Returns when to check an attempt again unless it changes before. The time may be early but
     * never late.
     */
    private Instant nextCheckTime(Attempt attempt) {
        Instant nextCheck = timeoutTime(attempt);
        if (!attempt.isFollowed()) {
            return nextCheck;
        }
        return earlier(nextCheck, attempt.lastFrameTime().plus(mSettings.progressInterval()));
    }

    private Instant timeoutTime(Attempt attempt) {
        if (attempt.phase() == Attempt.Phase.ENDED) {
            return outputExpiry(attempt, mSettings.output().keepTime());
        }
        if (attempt.phase() == Attempt.Phase.WAITING) {
            return Instant.MAX;
        }
        Instant runDeadline = runDeadline(attempt, mSettings);
        return isAbandoned(attempt)
                ? earlier(runDeadline, abandonedExpiry(attempt, mSettings))
                : runDeadline;
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
            String message = "the answer was not complete at the deadline";
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

    /** Returns when an attempt that no stream follows is cancelled. */
    private static Instant abandonedExpiry(Attempt attempt, SidecarSettings settings) {
        return attempt.unfollowedSince().plus(settings.output().keepTime());
    }

    /**
     * Returns when a running attempt is aborted: at its deadline. An attempt that a resend may ask
     * for gets the drain timeout in addition, because the resend has a later deadline than the
     * first caller.
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
        Duration requestedKeepTime = attempt.request().outputKeepTime();
        return attempt.endTime()
                .plus(requestedKeepTime.compareTo(keepTime) > 0 ? requestedKeepTime : keepTime);
    }
}
