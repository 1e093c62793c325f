package org.laurelweir.direct;

import java.time.Instant;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;

/**
 * Handles the answers to the current calls of requests, and their failures: forwards an answer, or
 * sends the request to another server where that is safe, or tells the caller what is known.
 */
final class Answers {
    /** Smaller bodies stay until the request ends: they are not worth a message to the process. */
    private static final int MIN_DROPPED_BYTES = 64 << 10;

    private final Attempts mAttempts;
    private final RequestDecisions mDecisions;
    private final Outcomes mOutcomes;
    private final ErrorAnswers mErrorAnswers;
    private final CrashGuard mCrashGuard;
    private final InvalidAnswerCalls mInvalidAnswers;
    private final Hedges mHedges;
    private final AnswerMemory mAnswerMemory;
    private final OriginRecorder mOriginRecorder;
    private final RequestEnds mEnds;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    Answers(
            Attempts attempts,
            RequestDecisions decisions,
            Outcomes outcomes,
            ErrorAnswers errorAnswers,
            CrashGuard crashGuard,
            InvalidAnswerCalls invalidAnswers,
            Hedges hedges,
            AnswerMemory answerMemory,
            OriginRecorder originRecorder,
            RequestEnds ends) {
        mAttempts = attempts;
        mDecisions = decisions;
        mOutcomes = outcomes;
        mErrorAnswers = errorAnswers;
        mCrashGuard = crashGuard;
        mInvalidAnswers = invalidAnswers;
        mHedges = hedges;
        mAnswerMemory = answerMemory;
        mOriginRecorder = originRecorder;
        mEnds = ends;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Handles the head of an answer. */
    void onHeadReceived(ActiveRequest r, DirectEvent.HeadReceived e) {
        r.mLastActivity = mNow;
        e.metadata().load().ifPresent(l -> mOutcomes.onReportedLoad(r.mBackend, l));
        if (e.metadata().notRun()) {
            onNotRun(r, e);
            return;
        }
        if (!e.metadata().genuine()) {
            onInvalidAnswer(r, e.metadata().framing());
            return;
        }
        mOutcomes.onHead(r);
        r.acceptHead(e.status(), e.headers(), e.metadata().framing());
        if (AnswerStatus.isFailure(e.status())) {
            onFailureStatus(r);
        } else {
            mHedges.onFirstAnswered(r);
            mOutcomes.onPromptRead(r);
            beginStream(r);
        }
        dropBodyIfLastCall(r);
    }

    /** Drops the body once the request can't be sent again, since a server has begun to answer. */
    private void dropBodyIfLastCall(ActiveRequest r) {
        if (!r.isRepeatable() && r.mRequest.call().body().length >= MIN_DROPPED_BYTES) {
            r.dropBody();
            mEffects.accept(new DirectEffect.BodyDropped(r.mCaller));
        }
    }

    /**
     * Handles an answer that does not belong to the request. Its server may be about to crash under
     * the request. The call stays open to find out, and until then at most one more server gets the
     * request.
     */
    private void onInvalidAnswer(ActiveRequest r, BodyFraming framing) {
        boolean mayRetry = !mInvalidAnswers.isWatched(r) && !mCrashGuard.isSuspect(r);
        long call = r.mCall;
        mAttempts.end(r);
        mInvalidAnswers.watch(r, call, r.mBackend, framing);
        mOutcomes.onFailure(r);
        onUnknownOutcome(r, mayRetry, "the answer belongs to another request, or to none");
    }

    private void beginStream(ActiveRequest r) {
        if (!r.isStreaming() || r.mHeadSent) {
            return;
        }
        r.mHeadSent = true;
        if (!r.mDetached) {
            mEffects.accept(new DirectEffect.AnswerHead(r.mCaller, r.mStatus, r.mHeaders));
        }
    }

    /**
     * Handles the status of a failure: the server ran the request, or may have. A repeatable
     * request is sent to another server. If none accepts it, the answer is forwarded at its end
     * unless {@link AnswerStatus} forbids that.
     */
    private void onFailureStatus(ActiveRequest r) {
        mOutcomes.onFailure(r);
        r.mMayHaveRun = true;
        if (r.isRepeatable()) {
            mAttempts.switchServer(r);
        }
    }

    /** Handles the statement of a server that it did not run the request and will not. */
    private void onNotRun(ActiveRequest r, DirectEvent.HeadReceived e) {
        mOutcomes.onNotRun(r.mBackend, e.metadata().misdirected());
        mEffects.accept(mDecisions.withReason(r, "not_run_" + e.status(), mNow));
        mAttempts.cancel(r);
        r.mMisdirected = e.metadata().misdirected();
        if (r.mMisdirected) {
            // It is no attempt at the intended server, so the route's limit does not end it.
            r.mAttemptCount--;
            r.mMisdirectedCount++;
        }
        if (!mAttempts.startNext(r)) {
            mEnds.end(
                    r,
                    c ->
                            mErrorAnswers.noServerAccepts(
                                    c, "no backend server accepted the request"));
        }
    }

    /** Handles a piece of an answer's body. */
    void onDataReceived(ActiveRequest r, byte[] bytes) {
        r.mLastActivity = mNow;
        if (r.isStreaming()) {
            byte[] events = r.mFramer.add(bytes);
            if (events.length > 0) {
                mOriginRecorder.forward(r, events);
            }
        } else {
            r.mBody.writeBytes(bytes);
        }
        mOutcomes.onData(r);
        mAnswerMemory.onGrown(r).ifPresent(e -> onTooLarge(e.request(), e.message()));
    }

    /** Ends the call of an answer that exceeds a limit, as one that is no valid answer. */
    private void onTooLarge(ActiveRequest r, String message) {
        mAnswerMemory.onEnded(r);
        mOriginRecorder.release(r);
        mAttempts.cancel(r);
        r.dropAnswer();
        mOutcomes.onFailure(r);
        onUnknownOutcome(r, true, message);
    }

    /** Handles the end of an answer that is complete by the rules of HTTP. */
    void onFinished(ActiveRequest r) {
        if (r.isBrokenOff()) {
            onBrokenOff(r);
            return;
        }
        if (!mOriginRecorder.release(r)) {
            onWrongVersion(r);
            return;
        }
        mAttempts.end(r);
        if (r.isStreaming()) {
            byte[] rest = r.mFramer.takeIncomplete();
            if (rest.length > 0) {
                emitUnlessDetached(r, new DirectEffect.AnswerData(r.mCaller, rest));
            }
            emitUnlessDetached(r, new DirectEffect.AnswerEnd(r.mCaller));
        } else if (r.mHeadSent) {
            mEnds.end(r, c -> mErrorAnswers.failed(c, "the stream could not be resumed"));
            return;
        } else if (AnswerStatus.promisesNotRun(r.mStatus)) {
            mEnds.end(r, c -> mErrorAnswers.failed(c, AnswerStatus.unprovenMessage(c.mStatus)));
            return;
        } else {
            emitUnlessDetached(
                    r,
                    new DirectEffect.AnswerComplete(
                            r.mCaller, r.mStatus, r.mHeaders, r.mBody.toByteArray()));
        }
        mEffects.accept(mDecisions.answered(r, mNow));
        if (!AnswerStatus.isFailure(r.mStatus)) {
            mOutcomes.onSuccess(r);
        }
        mEnds.remove(r);
    }

    /** Handles a stream that goes on at another version than the one that began it. */
    void onWrongVersion(ActiveRequest r) {
        mAttempts.cancel(r);
        mEnds.end(
                r, c -> mErrorAnswers.failed(c, "the backend server may have another version now"));
    }

    private void emitUnlessDetached(ActiveRequest r, DirectEffect effect) {
        if (!r.mDetached) {
            mEffects.accept(effect);
        }
    }

    /**
     * Handles an answer that ended by the rules of HTTP and lacks a part. If its connection ended
     * it, the server may have crashed, as with any connection that is lost within an answer.
     */
    private void onBrokenOff(ActiveRequest r) {
        DirectEvent.Failure failure =
                r.mFraming.provesEnd()
                        ? DirectEvent.Failure.INCOMPLETE
                        : DirectEvent.Failure.CONNECTION_LOST;
        String how = r.mFraming.provesEnd() ? "told by the server" : "by its connection";
        String message = "the answer ended within its content, " + how;
        onFailed(r, new DirectEvent.Failed(r.mCall, failure, message));
    }

    /** Handles the end of a call that has no complete answer. */
    void onFailed(ActiveRequest r, DirectEvent.Failed e) {
        mOriginRecorder.release(r);
        mAttempts.end(r);
        if (e.failure().isPossiblySent()) {
            mOutcomes.onFailure(r);
            boolean connectionLost = e.failure() == DirectEvent.Failure.CONNECTION_LOST;
            if (connectionLost) {
                mOutcomes.onConnectionLost(r.mBackend);
            }
            onUnknownOutcome(
                    r,
                    !connectionLost || mCrashGuard.onConnectionLost(r, r.mBackend, mNow),
                    e.message());
            return;
        }
        boolean isWithheld = e.failure() == DirectEvent.Failure.WITHHELD;
        if (!isWithheld) {
            mOutcomes.onConnectionLost(r.mBackend);
            mOutcomes.onUnreachable(r);
        }
        // The request never reached the server and does not count as an attempt.
        r.mAttemptCount--;
        mEffects.accept(mDecisions.withReason(r, isWithheld ? "withheld" : "not_sent", mNow));
        if (!mAttempts.startNext(r)) {
            mEnds.end(r, c -> mErrorAnswers.noServerAccepts(c, e.message()));
        }
    }

    /**
     * Handles a call after which the server may have run the request. Only a repeatable request is
     * sent to another server.
     *
     * @param mayRetry whether the crash guard permits a retry; the route has to permit it too
     */
    private void onUnknownOutcome(ActiveRequest r, boolean mayRetry, String message) {
        r.mMayHaveRun = true;
        mEffects.accept(mDecisions.outcomeUnknown(r, message, mNow));
        if (mayRetry && r.isRepeatable() && mAttempts.startNext(r)) {
            return;
        }
        mEnds.end(r, c -> mErrorAnswers.failed(c, message));
    }
}
