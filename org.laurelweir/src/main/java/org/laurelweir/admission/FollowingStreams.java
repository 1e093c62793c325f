package org.laurelweir.admission;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;

/**
 * Connects attempts with the streams that follow them. One stream follows an attempt at a time: the
 * one that its router opened last. A stream that resumes was opened after the one that began, even
 * where its messages arrive first; among streams that resume the last to arrive counts, and a
 * router that was wronged by that resumes again.
 */
final class FollowingStreams {
    private final AttemptTable mTable;
    private final AttemptFinisher mFinisher;
    private final FrameSender mFrameSender;

    FollowingStreams(AttemptTable table, AttemptFinisher endings, FrameSender frames) {
        mTable = table;
        mFinisher = endings;
        mFrameSender = frames;
    }

    /** Follows an attempt by a stream that would have begun it, had it not been begun already. */
    void followOnRepeatedRequest(Step step, Attempt attempt, long stream) {
        if (attempt.isResumed()) {
            step.emit(new SidecarEffect.CloseStream(stream));
            return;
        }
        follow(step, attempt, stream, 0, false);
    }

    /** Follows an attempt from a byte offset of its output on. */
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

    /** Tells a stream that the output it asks for is gone. */
    void sendOutputNotKept(Step step, AttemptId attempt, long stream) {
        Frame gone = new Frame.Failed(ResultCode.OUTPUT_NOT_KEPT, "output is no longer kept");
        mFrameSender.sendLast(step, stream, attempt, gone);
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

    /** Passes the head of an answer on. */
    void sendHead(Step step, Attempt attempt, int status, List<Header> headers) {
        attempt.setHead(new Frame.Head(status, headers));
        mFrameSender.send(step, attempt, attempt.head());
    }

    /** Forgets a stream; its attempt goes on. */
    void onStreamClosed(Step step, long stream) {
        Attempt attempt = mTable.findByStream(stream);
        if (attempt != null) {
            mTable.unfollow(step, attempt);
        }
    }

    /** Breaks the silence on a stream if nothing was sent for a while. */
    void sendProgress(Step step, Attempt attempt, Duration interval) {
        if (!attempt.lastFrameTime().plus(interval).isAfter(step.now())) {
            mFrameSender.send(step, attempt, new Frame.Progress(attempt.output().end()));
        }
    }
}
