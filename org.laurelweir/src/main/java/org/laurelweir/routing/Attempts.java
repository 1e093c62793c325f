package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;

/** Begins attempts and follows them over new streams. */
final class Attempts {
    private final Requests mRequests;

    Attempts(Requests requests) {
        mRequests = requests;
    }

    /** Sends the request's present attempt for the first and only time. */
    void begin(Step s, ActiveRequest r) {
        long stream = openStream(s, r, false);
        s.emit(new RouterEffect.BeginAttempt(stream, r.mTarget.address(), buildRequest(s, r)));
    }

    /** Follows the request's present attempt from the first byte that the caller lacks. */
    void resume(Step s, ActiveRequest r) {
        long stream = openStream(s, r, true);
        s.emit(
                new RouterEffect.ResumeAttempt(
                        stream,
                        r.mTarget.address(),
                        r.mAttempt,
                        r.mTarget.ref(),
                        r.mForwardedBytes,
                        true));
    }

    /** Leaves the stream, whose connection is suspect from now on. */
    void dropStream(Step s, ActiveRequest r) {
        if (r.mStream != 0) {
            s.emit(new RouterEffect.DropStream(r.mStream));
            mRequests.closeStream(r);
        }
    }

    private long openStream(Step s, ActiveRequest r, boolean resumed) {
        long stream = mRequests.openStream(r);
        r.mResumed = resumed;
        r.mLastActivityAt = s.now();
        r.enterPhase(ActiveRequest.Phase.STREAMING, r.mDeadline);
        return stream;
    }

    private static AttemptRequest buildRequest(Step s, ActiveRequest r) {
        CallerRequest q = r.mRequest;
        return AttemptRequest.builder(r.mAttempt, r.mTarget.ref())
                .account(q.account(), q.policy().accountWeight())
                .service(q.service())
                .chat(q.chat(), q.returning())
                .call(q.call())
                .idempotent(q.idempotent())
                .idempotencyKey(q.idempotencyKey())
                .timeLeft(r.timeLeft(s.now()))
                .priority(q.priority())
                .cost(q.cost())
                .redirects(r.mRedirectCount)
                .outputKeepTime(r.needsClaim() ? q.policy().claimRetention() : Duration.ZERO)
                .build();
    }
}
