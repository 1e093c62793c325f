package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.Frame;

/** Ends attempts, each exactly once, and tells whoever follows them. */
final class Endings {
    private final AttemptTable mTable;
    private final AttemptMemory mMemory;
    private final RunningLoad mLoad;
    private final FrameSender mFrames;
    private final RunTimes mTimes;
    private final ChatHomes mHomes;

    Endings(
            AttemptTable table,
            AttemptMemory memory,
            RunningLoad load,
            FrameSender frames,
            RunTimes times,
            ChatHomes homes) {
        mTable = table;
        mMemory = memory;
        mLoad = load;
        mFrames = frames;
        mTimes = times;
        mHomes = homes;
    }

    /**
     * Ends an attempt that was not run. It is remembered, so that it isn't run later either, when a
     * message that begins it arrives again.
     */
    void refuse(Step step, Attempt attempt, Frame.Refused refusal) {
        release(attempt);
        mMemory.put(step.now(), attempt.id(), AttemptMemory.Past.NEVER_STARTED);
        mFrames.send(step, attempt, refusal);
        if (attempt.isFollowed()) {
            step.emit(new SidecarEffect.CloseStream(attempt.stream()));
        }
        mTable.remove(attempt);
    }

    /** Ends an attempt that was started; its output stays for a while. */
    void end(Step step, Attempt attempt, Frame ending) {
        release(attempt);
        if (ending instanceof Frame.End e && isSuccess(attempt)) {
            mHomes.answered(attempt.request(), e.usage());
            mTimes.add(attempt.work(), Duration.between(attempt.started(), step.now()));
        }
        attempt.end(step.now(), ending);
        mTable.changed(attempt);
        if (attempt.isFollowed()) {
            sendEnding(step, attempt);
        }
    }

    /** Sends the ending to the stream that follows an ended attempt, and closes the stream. */
    void sendEnding(Step step, Attempt attempt) {
        mFrames.send(step, attempt, attempt.ending());
        attempt.setEndingSent();
        step.emit(new SidecarEffect.CloseStream(attempt.stream()));
        mTable.unfollow(step, attempt);
    }

    /** Drops an ended attempt whose output is no longer kept. */
    void drop(Step step, Attempt attempt) {
        mMemory.put(step.now(), attempt.id(), AttemptMemory.Past.RAN);
        mTable.remove(attempt);
    }

    private static boolean isSuccess(Attempt attempt) {
        return attempt.head().status() / 100 == 2;
    }

    private void release(Attempt attempt) {
        if (attempt.phase() == Attempt.Phase.RUNNING) {
            mLoad.remove(attempt.work());
        }
    }
}
