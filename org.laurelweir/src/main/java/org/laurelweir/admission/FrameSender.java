package org.laurelweir.admission;

import java.util.function.BooleanSupplier;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.AttemptId;

/** Sends frames to routers. Each frame carries the sidecar's load. */
final class FrameSender {
    private final RunningLoad mLoad;
    private final BooleanSupplier mDraining;

    /**
     * Creates a sender.
     *
     * @param load the load that the frames report
     * @param draining returns whether the sidecar takes no new work
     */
    FrameSender(RunningLoad load, BooleanSupplier draining) {
        mLoad = load;
        mDraining = draining;
    }

    /** Sends a frame to the stream that follows the attempt. Does nothing if none does. */
    void send(Step step, Attempt attempt, Frame frame) {
        if (!attempt.isFollowed()) {
            return;
        }
        attempt.setLastFrameTime(step.now());
        send(step, attempt.stream(), attempt.id(), frame);
    }

    /** Sends a frame about an attempt on a stream. */
    void send(Step step, long stream, AttemptId attempt, Frame frame) {
        LoadHint hint =
                new LoadHint(mLoad.work(), mLoad.mean(step.now()), mDraining.getAsBoolean());
        step.emit(new SidecarEffect.SendFrame(stream, new AttemptFrame(attempt, hint, frame)));
    }

    /** Sends a frame on a stream that follows no attempt, and closes the stream. */
    void sendLast(Step step, long stream, AttemptId attempt, Frame frame) {
        send(step, stream, attempt, frame);
        step.emit(new SidecarEffect.CloseStream(stream));
    }
}
