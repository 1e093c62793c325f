package org.laurelweir.admission;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/**
 * Connects each attempt with the stream that follows it. Only the stream that its router opened
 * last follows an attempt.
 *
 * <p>A stream that resumes an attempt is newer than the stream that requested it, even if its
 * message arrives first. Among streams that resume, the last to arrive counts. If that closes the
 * wrong stream, the router resumes again.
 */
final class FollowingStreams {
    private final AttemptTable mTable;
    private final AttemptFinisher mFinisher;
    private final FrameSender mFrameSender;

    FollowingStreams(AttemptTable table, AttemptFinisher finisher, FrameSender frameSender) {
        mTable = table;
        mFinisher = finisher;
        mFrameSender = frameSender;
    }

    /**
     * Makes a stream follow an attempt whose request has arrived again. A stream that resumed the
     * attempt is newer and keeps it.
     */
    void followOnRepeatedRequest(Step step, Attempt attempt, long stream) {
        if (attempt.isResumed()) {
            step.emit(new SidecarEffect.CloseStream(stream));
            return;
        }
        follow(step, attempt, stream, 0, false);
    }

    /** Makes a stream follow an attempt and sends its output from a byte offset on. */
    void resume(Step step, Attempt attempt, long stream, long offset) {
        follow(step, attempt, stream, offset, true);
    }

    private void follow(Step step, Attempt attempt, long stream, long offset, boolean resumed) {
        if (!attempt.output().holdsFrom(offset)) {
            sendOutputNotKept(step, attempt.id(), stream);
            return;
        }
        if (attempt.isFollowed() && attempt.stream() != stream) {
            step.emit(new SidecarEffect.CloseStream(attempt.stream()));
        }
        mTable.follow(attempt, stream, resumed);
        sendOutput(step, attempt, offset);
    }

    /** Reports on a stream that the requested output is no longer kept. */
    void sendOutputNotKept(Step step, AttemptId attempt, long stream) {
        Frame notKept = new Frame.Failed(ResultCode.OUTPUT_NOT_KEPT, "output is no longer kept");
        mFrameSender.sendLast(step, stream, attempt, notKept);
    }

    private void sendOutput(Step step, Attempt attempt, long offset) {
        if (attempt.head() == null) {
            mFrameSender.send(step, attempt, new Frame.Accepted(0));
        } else if (offset == 0) {
            mFrameSender.send(step, attempt, attempt.head());
        }
        for (Frame.Data d : attempt.output().piecesFrom(offset)) {
            mFrameSender.send(step, attempt, d);
        }
        if (attempt.phase() == Attempt.Phase.ENDED) {
            mFinisher.sendFinalFrame(step, attempt);
        }
    }

    /** Stores the head of the answer and sends it. */
    void sendHead(Step step, Attempt attempt, int status, List<Header> headers) {
        attempt.setHead(new Frame.Head(status, headers));
        mFrameSender.send(step, attempt, attempt.head());
    }

    /** Handles a closed stream. Its attempt runs on. */
    void onStreamClosed(Step step, long stream) {
        Attempt attempt = mTable.findByStream(stream);
        if (attempt != null) {
            mTable.unfollow(step, attempt);
        }
    }

    /** Sends a progress frame if no frame was sent for the interval. */
    void sendProgress(Step step, Attempt attempt, Duration interval) {
        if (!attempt.lastFrameTime().plus(interval).isAfter(step.now())) {
            mFrameSender.send(step, attempt, new Frame.Progress(attempt.output().end()));
        }
    }
}
