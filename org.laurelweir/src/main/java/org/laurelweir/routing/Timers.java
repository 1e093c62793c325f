package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.lib.ResultCode;

/** Checks the requests in flight for deadlines, silent streams and waits that are over. */
final class Timers {
    /**
     * Interval between scans of all requests. A scan at every tick would cost more than the
     * precision of the timers is worth.
     */
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(10);

    private final Requests mRequests;
    private final Streams mStreams;
    private final Retries mRetries;
    private final Recovery mRecovery;
    private final ClaimAnswers mClaimAnswers;
    private final Outcomes mOutcomes;
    private Instant mNextScan = Instant.MIN;

    Timers(
            Requests requests,
            Streams streams,
            Retries retries,
            Recovery recovery,
            ClaimAnswers claimAnswers,
            Outcomes outcomes) {
        mRequests = requests;
        mStreams = streams;
        mRetries = retries;
        mRecovery = recovery;
        mClaimAnswers = claimAnswers;
        mOutcomes = outcomes;
    }

    void onTick(Step s) {
        if (s.now().isBefore(mNextScan)) {
            return;
        }
        mNextScan = s.now().plus(SCAN_INTERVAL);
        mRequests.all().forEach(r -> checkRequest(s, r));
    }

    private void checkRequest(Step s, ActiveRequest r) {
        if (!r.mDetached && !s.now().isBefore(r.mDeadline)) {
            onDeadline(s, r);
            return;
        }
        if (r.mPhase == ActiveRequest.Phase.STREAMING) {
            checkSilence(s, r);
        } else if (!s.now().isBefore(r.mWakeAt)) {
            onWake(s, r);
        }
    }

    /**
     * Treats a stream as lost after the silence timeout. Silence counts only while the caller has
     * consumed all output: for a slow caller the stream is not read, so that no frame can arrive.
     */
    private void checkSilence(Step s, ActiveRequest r) {
        Instant timeoutAt = r.mLastActivityAt.plus(r.policy().silenceTimeout());
        if (r.mConsumedBytes >= r.mForwardedBytes && !s.now().isBefore(timeoutAt)) {
            mRecovery.onContactLost(s, r, "silent");
        }
    }

    private void onWake(Step s, ActiveRequest r) {
        switch (r.mPhase) {
            case CLAIMING ->
                    mClaimAnswers.failUnavailable(
                            s, r, "no answer from control within the silence timeout");
            case BACKING_OFF -> mRetries.sendNext(s, r);
            case REVOKING -> mRecovery.onRevokeFailed(s, r, r.mAttempt);
            default -> mRecovery.onWake(s, r);
        }
    }

    private void onDeadline(Step s, ActiveRequest r) {
        switch (r.mPhase) {
            case CLAIMING, BACKING_OFF -> {
                String message = "the deadline expired before the request could be run";
                mOutcomes.fail(s, r, new Failure(ResultCode.DEADLINE_UNREACHABLE, message));
            }
            default -> expireStarted(s, r);
        }
    }

    private void expireStarted(Step s, ActiveRequest r) {
        String message = "the deadline expired before the answer was complete";
        Failure failure = new Failure(ResultCode.DEADLINE_EXCEEDED, message);
        if (!r.mRequest.idempotent()) {
            mOutcomes.failAndDetach(s, r, failure);
            mStreams.onOutputConsumed(s, r, r.mForwardedBytes);
            return;
        }
        if (r.mStream != 0) {
            s.emit(new RouterEffect.CancelAttempt(r.mStream));
        }
        mOutcomes.fail(s, r, failure);
    }
}
