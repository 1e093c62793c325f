package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.Frame;

/**
 * Ends attempts, each exactly once, and sends the final frame to the stream that follows the
 * attempt.
 */
final class AttemptFinisher {
    private final AttemptTable mTable;
    private final AttemptMemory mMemory;
    private final RunningLoad mLoad;
    private final FrameSender mFrameSender;
    private final RunTimes mRunTimes;
    private final ChatLocations mChatLocations;

    AttemptFinisher(
            AttemptTable table,
            AttemptMemory memory,
            RunningLoad load,
            FrameSender frameSender,
            RunTimes runTimes,
            ChatLocations chatLocations) {
        mTable = table;
        mMemory = memory;
        mLoad = load;
        mFrameSender = frameSender;
        mRunTimes = runTimes;
        mChatLocations = chatLocations;
    }

    /**
     * Ends an attempt that was not run. The attempt is remembered as never started, so that it does
     * not run when its request arrives again.
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

    /** Ends an attempt that was started. Its output is kept for a time. */
    void finish(Step step, Attempt attempt, Frame finalFrame) {
        removeLoad(attempt);
        if (finalFrame instanceof Frame.End e && isSuccess(attempt)) {
            mChatLocations.onAnswered(attempt.request(), e.usage());
            mRunTimes.add(attempt.work(), Duration.between(attempt.startTime(), step.now()));
        }
        attempt.end(step.now(), finalFrame);
        mTable.markChanged(attempt);
        if (attempt.isFollowed()) {
            sendFinalFrame(step, attempt);
        }
    }

    /**
     * Sends the final frame of an ended attempt to the stream that follows it, and closes the
     * stream.
     */
    void sendFinalFrame(Step step, Attempt attempt) {
        mFrameSender.send(step, attempt, attempt.finalFrame());
        attempt.setFinalFrameSent();
        step.emit(new SidecarEffect.CloseStream(attempt.stream()));
        mTable.unfollow(step, attempt);
    }

    /** Drops an ended attempt with its output, and remembers that it ran. */
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
