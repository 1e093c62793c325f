package org.laurelweir.routing;

import java.util.Arrays;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;

/** Turns frames from sidecars into answers to callers. */
final class Streams {
    private final Requests mRequests;
    private final Placements mPlacements;
    private final Retries mRetries;
    private final Recovery mRecovery;
    private final Outcomes mOutcomes;

    Streams(
            Requests requests,
            Placements placements,
            Retries retries,
            Recovery recovery,
            Outcomes outcomes) {
        mRequests = requests;
        mPlacements = placements;
        mRetries = retries;
        mRecovery = recovery;
        mOutcomes = outcomes;
    }

    /**
     * Handles a frame. Ignores a frame on a closed stream or of another attempt than the stream's:
     * it is late or misrouted, and its bytes would corrupt the answer.
     */
    void onFrame(Step s, long stream, AttemptFrame f) {
        ActiveRequest r = mRequests.byStream(stream);
        if (r == null || !f.attempt().equals(r.mAttempt)) {
            return;
        }
        r.mLastActivityAt = s.now();
        mPlacements.onLoad(s.now(), r.mTarget.ref(), f.load());
        Frame frame = f.frame();
        if (frame instanceof Frame.Head h) {
            onHead(s, r, h);
        } else if (frame instanceof Frame.Data d) {
            onData(s, r, d);
        } else if (frame instanceof Frame.End e) {
            onEnd(s, r, e);
        } else if (frame instanceof Frame.Refused n) {
            onRefused(s, r, n);
        } else if (frame instanceof Frame.Failed n) {
            onFailed(s, r, n);
        } else {
            r.mAccepted = true;
        }
    }

    /** Handles a stream that ended without a closing frame. */
    void onStreamLost(Step s, RouterEvent.StreamLost lost) {
        ActiveRequest r = mRequests.byStream(lost.stream());
        if (r == null) {
            return;
        }
        boolean mayHaveStarted = r.mResumed || lost.sent() || r.mAccepted;
        mRequests.closeStream(r);
        if (mayHaveStarted) {
            mRecovery.onContactLost(s, r, "stream_lost");
            return;
        }
        mPlacements.onFailure(s.now(), r);
        mRetries.onNotSent(s, r, lost.message());
    }

    /**
     * Handles output that the caller consumed. Restarts the silence timeout of a stream that waited
     * for the caller.
     */
    void onOutputConsumed(Step s, ActiveRequest r, long offset) {
        r.mConsumedBytes = Math.max(r.mConsumedBytes, offset);
        r.mLastActivityAt = s.now();
        acknowledge(s, r);
    }

    private void onHead(Step s, ActiveRequest r, Frame.Head h) {
        r.mAccepted = true;
        if (r.mHeadSent) {
            return;
        }
        r.mHeadSent = true;
        r.mRecoveryCount = 0;
        mPlacements.onAnswer(r);
        if (!r.mDetached) {
            s.emit(new RouterEffect.AnswerHead(r.mCaller, h.status(), h.headers()));
        }
    }

    private void onData(Step s, ActiveRequest r, Frame.Data d) {
        long end = d.offset() + d.bytes().length;
        if (end <= r.mForwardedBytes) {
            return;
        }
        if (!r.mHeadSent || d.offset() > r.mForwardedBytes) {
            mRecovery.onContactLost(s, r, "gap");
            return;
        }
        int overlap = (int) (r.mForwardedBytes - d.offset());
        r.mForwardedBytes = end;
        r.mRecoveryCount = 0;
        if (r.mDetached) {
            r.mConsumedBytes = end;
            acknowledge(s, r);
            return;
        }
        byte[] newBytes =
                overlap == 0 ? d.bytes() : Arrays.copyOfRange(d.bytes(), overlap, d.bytes().length);
        s.emit(new RouterEffect.AnswerData(r.mCaller, newBytes));
    }

    private static void acknowledge(Step s, ActiveRequest r) {
        if (r.mStream != 0) {
            s.emit(new RouterEffect.Acknowledge(r.mStream, r.mConsumedBytes));
        }
    }

    /**
     * Completes the answer if its length is what was forwarded. If bytes are missing, asks for them
     * once. Otherwise cuts the caller's connection: the caller would take a shortened answer that
     * ends normally for a complete one.
     */
    private void onEnd(Step s, ActiveRequest r, Frame.End e) {
        if (r.mHeadSent && e.length() == r.mForwardedBytes) {
            mRequests.closeStream(r);
            mOutcomes.complete(s, r);
            return;
        }
        if (!r.mEndMismatched && e.length() >= r.mForwardedBytes) {
            r.mEndMismatched = true;
            r.mAccepted = true;
            mRecovery.onContactLost(s, r, "gap");
            return;
        }
        String message = "the answer has " + e.length() + " bytes, not " + r.mForwardedBytes;
        mRequests.closeStream(r);
        mOutcomes.fail(s, r, new Failure(ResultCode.ANSWER_CUT, message));
    }

    private void onRefused(Step s, ActiveRequest r, Frame.Refused f) {
        mRequests.closeStream(r);
        // The refusal of a stream that resumes an attempt says nothing about the attempt itself,
        // and a second begin message of the same attempt is refused while the first one runs.
        boolean isAttemptRefused = f.code().isNotRun() && f.code() != ResultCode.DUPLICATE_ATTEMPT;
        if (r.mResumed || r.mHeadSent || !isAttemptRefused) {
            mRecovery.onStreamRefused(s, r);
            return;
        }
        if (f.code() == ResultCode.OTHER_INCARNATION) {
            mPlacements.onOtherIncarnation(s.now(), r);
        }
        mRetries.onRefused(s, r, f);
    }

    private void onFailed(Step s, ActiveRequest r, Frame.Failed f) {
        mRequests.closeStream(r);
        ResultCode code = f.code();
        if (code == ResultCode.BACKEND_FAILED) {
            mPlacements.onFailure(s.now(), r);
        }
        boolean hasNoOutput = code == ResultCode.OUTPUT_NOT_KEPT || r.mHolderCompleted;
        if (r.mFollowing && hasNoOutput) {
            code = ResultCode.ALREADY_RUN;
        }
        mRetries.onMayHaveRun(s, r, new Failure(code, f.message()));
    }
}
