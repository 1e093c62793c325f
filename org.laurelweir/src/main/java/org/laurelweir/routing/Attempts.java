package org.laurelweir.routing;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;

/** Begins attempts, and resumes them on new streams. */
final class Attempts {
    private final Requests mRequests;

    Attempts(Requests requests) {
        mRequests = requests;
    }

    /** Sends the request's current attempt. Each attempt is sent only once. */
    void begin(Step s, ActiveRequest r) {
        long stream = openStream(s, r, false);
        s.emit(new RouterEffect.BeginAttempt(stream, r.mTarget.address(), buildRequest(s, r)));
    }

    /** Resumes the request's current attempt at the first byte that was not forwarded yet. */
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

    /** Drops the request's stream and treats its connection as suspect. */
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
        CallerRequest request = r.mRequest;
        return AttemptRequest.builder(r.mAttempt, r.mTarget.ref())
                .account(request.account(), request.policy().accountWeight())
                .service(request.service())
                .chat(request.chat(), request.returning())
                .call(request.call())
                .idempotent(request.idempotent())
                .idempotencyKey(request.idempotencyKey())
                .timeLeft(r.timeLeft(s.now()))
                .priority(request.priority())
                .cost(request.cost())
                .redirects(r.mRedirectCount)
                .outputKeepTime(r.needsClaim() ? request.policy().claimRetention() : Duration.ZERO)
                .build();
    }
}
