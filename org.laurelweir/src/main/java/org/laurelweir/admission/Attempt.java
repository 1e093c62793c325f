package org.laurelweir.admission;

import java.time.Instant;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;

/** One attempt that the sidecar holds: waiting, running, or ended with its output still kept. */
final class Attempt {
    /** How far an attempt has come; it only moves forward. */
    enum Phase {
        /** It has not been sent to the backend server. */
        WAITING,
        /** It was sent to the backend server. */
        RUNNING,
        /** It has an ending, and its output may still be asked for. */
        ENDED
    }

    /** No stream follows the attempt. */
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

    /** Returns the work that it is expected to cost, in token units. */
    double work() {
        return mWork;
    }

    void setWork(double work) {
        mWork = work;
    }

    /**
     * Returns whether the attempt may be given up while it runs. One that may run only once, and
     * that a resend can find by its key, goes on instead: its outcome is still wanted.
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

    /** Returns whether the present stream came to resume rather than to begin. */
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

    /** Returns since when nobody follows; only where nobody does. */
    Instant unfollowedSince() {
        return mUnfollowedSince;
    }

    Instant lastFrameTime() {
        return mLastFrameTime;
    }

    void setLastFrameTime(Instant at) {
        mLastFrameTime = at;
    }

    /** Notes that the request was sent, with its body, which is not kept. */
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

    void end(Instant now, Frame ending) {
        mPhase = Phase.ENDED;
        mEndTime = now;
        mFinalFrame = ending;
    }

    Instant endTime() {
        return mEndTime;
    }

    Frame finalFrame() {
        return mFinalFrame;
    }

    /** Returns whether the ending went out on some stream. */
    boolean isFinalFrameSent() {
        return mFinalFrameSent;
    }

    void setFinalFrameSent() {
        mFinalFrameSent = true;
    }
}
