package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.Frame;

/** Ends attempts, each exactly once, and tells whoever follows them. */
final class AttemptFinisher {
    private final AttemptTable mTable;
    private final AttemptMemory mMemory;
    private final RunningLoad mLoad;
    private final FrameSender mFrameSender;
    private final RunTimes mRunTimes;
    private final ChatLocations mHomes;

    AttemptFinisher(
            AttemptTable table,
            AttemptMemory memory,
            RunningLoad load,
            FrameSender frames,
            RunTimes times,
            ChatLocations homes) {
        mTable = table;
        mMemory = memory;
        mLoad = load;
        mFrameSender = frames;
        mRunTimes = times;
        mHomes = homes;
    }

    /**
     * Ends an attempt that was not run. It is remembered, so that it isn't run later either, when a
     * message that begins it arrives again.
     */
    void refuse(Step step, Attempt attempt, Frame.Refused refusal) {
        removeLoad(attempt);
        mMemory.put(step.now(), attempt.id(), AttemptMemory.Outcome.NEVER_STARTED);
        mFrameSender.send(step, attempt, refusal);
        if (attempt.isFollowed()) {
            step.emit(new SidecarEffect.CloseStream(attempt.stream()));
        }
        mTable.remove(attempt);
    }

    /** Ends an attempt that was started; its output stays for a while. */
    void finish(Step step, Attempt attempt, Frame ending) {
        removeLoad(attempt);
        if (ending instanceof Frame.End e && isSuccess(attempt)) {
            mHomes.onAnswered(attempt.request(), e.usage());
            mRunTimes.add(attempt.work(), Duration.between(attempt.startTime(), step.now()));
        }
        attempt.end(step.now(), ending);
        mTable.markChanged(attempt);
        if (attempt.isFollowed()) {
            sendFinalFrame(step, attempt);
        }
    }

    /** Sends the ending to the stream that follows an ended attempt, and closes the stream. */
    void sendFinalFrame(Step step, Attempt attempt) {
        mFrameSender.send(step, attempt, attempt.finalFrame());
        attempt.setFinalFrameSent();
        step.emit(new SidecarEffect.CloseStream(attempt.stream()));
        mTable.unfollow(step, attempt);
    }

    /** Drops an ended attempt whose output is no longer kept. */
    void drop(Step step, Attempt attempt) {
        mMemory.put(step.now(), attempt.id(), AttemptMemory.Outcome.RAN);
        mTable.remove(attempt);
    }

    private static boolean isSuccess(Attempt attempt) {
        return attempt.head().status() / 100 == 2;
    }

    private void removeLoad(Attempt attempt) {
        if (attempt.phase() == Attempt.Phase.RUNNING) {
            mLoad.remove(attempt.work());
        }
    }
}
