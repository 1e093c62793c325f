package org.laurelweir.admission;

import java.time.Instant;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;

/** An attempt that the sidecar holds. It waits, runs, or has ended while its output is kept. */
final class Attempt {
    /** The progress of an attempt. It never goes back. */
    enum Phase {
        /** The attempt has not been sent to the backend server. */
        WAITING,
        /** The attempt was sent to the backend server and has not ended. */
        RUNNING,
        /** The attempt has ended, and routers may still ask for its output. */
        ENDED
    }

    /** The stream id while no stream follows the attempt. */
    static final long NO_STREAM = -1;

    private AttemptRequest mRequest;
    private final Instant mDeadline;
    private final OutputBuffer mOutput;
    private Phase mPhase = Phase.WAITING;
    private double mWork;
    private long mStream = NO_STREAM;
    private boolean mResumed;
    private Instant mLastFrameTime;
    private Instant mUnfollowedSince;
    private Instant mStartTime;
    private Instant mEndTime;
    private Frame.Head mHead;
    private Frame mFinalFrame;
    private boolean mFinalFrameSent;

    Attempt(AttemptRequest request, Instant now, OutputTotal total) {
        mRequest = request;
        mDeadline = now.plus(request.timeLeft());
        mOutput = new OutputBuffer(!request.outputKeepTime().isZero(), total);
        mUnfollowedSince = now;
        mLastFrameTime = now;
    }

    AttemptId id() {
        return mRequest.id();
    }

    AttemptRequest request() {
        return mRequest;
    }

    Instant deadline() {
        return mDeadline;
    }

    OutputBuffer output() {
        return mOutput;
    }

    Phase phase() {
        return mPhase;
    }

    /** Returns the expected work of the attempt, in token units. */
    double work() {
        return mWork;
    }

    void setWork(double work) {
        mWork = work;
    }

    /**
     * Returns whether the attempt may be cancelled while it runs. An attempt that may run only once
     * and has an idempotency key runs on: a resend with the same key will ask for its outcome.
     */
    boolean isCancellable() {
        return mRequest.idempotent() || mRequest.idempotencyKey().isEmpty();
    }

    long stream() {
        return mStream;
    }

    boolean isFollowed() {
        return mStream != NO_STREAM;
    }

    /** Returns whether the present stream resumed the attempt instead of requesting it. */
    boolean isResumed() {
        return mResumed;
    }

    void follow(long stream, boolean resumed) {
        mStream = stream;
        mResumed = resumed;
    }

    void unfollow(Instant now) {
        mStream = NO_STREAM;
        mResumed = false;
        mUnfollowedSince = now;
    }

    /** Returns the time since which no stream follows the attempt. Valid only while none does. */
    Instant unfollowedSince() {
        return mUnfollowedSince;
    }

    Instant lastFrameTime() {
        return mLastFrameTime;
    }

    void setLastFrameTime(Instant time) {
        mLastFrameTime = time;
    }

    /** Marks the attempt as running and drops the body of its request, which has been sent. */
    void start(Instant now) {
        mRequest = mRequest.withoutBody();
        mPhase = Phase.RUNNING;
        mStartTime = now;
    }

    Instant startTime() {
        return mStartTime;
    }

    Frame.Head head() {
        return mHead;
    }

    void setHead(Frame.Head head) {
        mHead = head;
    }

    void end(Instant now, Frame finalFrame) {
        mPhase = Phase.ENDED;
        mEndTime = now;
        mFinalFrame = finalFrame;
    }

    Instant endTime() {
        return mEndTime;
    }

    Frame finalFrame() {
        return mFinalFrame;
    }

    /** Returns whether the final frame was sent on a stream. */
    boolean isFinalFrameSent() {
        return mFinalFrameSent;
    }

    void setFinalFrameSent() {
        mFinalFrameSent = true;
    }
}
