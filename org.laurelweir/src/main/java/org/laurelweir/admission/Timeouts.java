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
    private final DueOrder mDue = new DueOrder();
    private final AttemptTable mTable;
    private final Endings mEndings;
    private final Execution mExecution;
    private final Followers mFollowers;
    private SidecarSettings mSettings = SidecarSettings.DEFAULT;

    Timeouts(AttemptTable table, Endings endings, Execution execution, Followers followers) {
        mTable = table;
        mEndings = endings;
        mExecution = execution;
        mFollowers = followers;
    }

    void check(Step step, SidecarSettings settings) {
        if (!settings.equals(mSettings)) {
            mSettings = settings;
            mTable.all().forEach(this::schedule);
        }
        mTable.takeChanged().forEach(this::schedule);
        for (Attempt a : mDue.take(step.now())) {
            checkOne(step, a, settings);
            schedule(a);
        }
    }

    private void schedule(Attempt attempt) {
        if (mTable.holds(attempt)) {
            mDue.set(attempt, nextDue(attempt));
        } else {
            mDue.remove(attempt);
        }
    }

    /** Returns when to look at an attempt again, if it does not change before; never too late. */
    private Instant nextDue(Attempt attempt) {
        Instant next = timeout(attempt);
        if (!attempt.isFollowed()) {
            return next;
        }
        return earlier(next, attempt.lastFrame().plus(mSettings.progressInterval()));
    }

    private Instant timeout(Attempt attempt) {
        if (attempt.phase() == Attempt.Phase.ENDED) {
            return keptUntil(attempt, mSettings.output().keepTime());
        }
        if (attempt.phase() == Attempt.Phase.WAITING) {
            return Instant.MAX;
        }
        Instant latest = latestEnd(attempt, mSettings);
        return isUnwanted(attempt) ? earlier(latest, unwantedUntil(attempt, mSettings)) : latest;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    private void checkOne(Step step, Attempt attempt, SidecarSettings settings) {
        if (attempt.phase() == Attempt.Phase.RUNNING) {
            checkRunning(step, attempt, settings);
        } else if (attempt.phase() == Attempt.Phase.ENDED) {
            checkKept(step, attempt, settings.output().keepTime());
        }
        if (mTable.holds(attempt)) {
            mFollowers.sendProgress(step, attempt, settings.progressInterval());
        }
    }

    private void checkRunning(Step step, Attempt attempt, SidecarSettings settings) {
        if (!step.now().isBefore(latestEnd(attempt, settings))) {
            String message = "no whole answer within the deadline";
            mExecution.cancel(step, attempt, ResultCode.DEADLINE_EXCEEDED, message);
            return;
        }
        if (isUnwanted(attempt) && !step.now().isBefore(unwantedUntil(attempt, settings))) {
            mExecution.cancel(step, attempt, ResultCode.CANCELLED, "nobody follows");
        }
    }

    private static boolean isUnwanted(Attempt attempt) {
        return !attempt.isFollowed() && attempt.isCancellable();
    }

    /** Returns how long an attempt that nobody follows goes on. */
    private static Instant unwantedUntil(Attempt attempt, SidecarSettings settings) {
        return attempt.followedUntil().plus(settings.output().keepTime());
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
        if (!step.now().isBefore(keptUntil(attempt, keepTime))) {
            mEndings.drop(step, attempt);
        }
    }

    private static Instant keptUntil(Attempt attempt, Duration keepTime) {
        Duration wanted = attempt.request().outputKeepTime();
        return attempt.ended().plus(wanted.compareTo(keepTime) > 0 ? wanted : keepTime);
    }
}
