package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.laurelweir.lib.ResultCode;

/** Tells callers why they get no answer of a backend server, and whether their request has run. */
final class ErrorAnswers {
    private final ServerChoice mChoice;
    private final Attempts mAttempts;
    private final RequestDecisions mDecisions;
    private final RetryDelays mRetryDelays;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    ErrorAnswers(
            ServerChoice choice,
            Attempts attempts,
            RequestDecisions reports,
            RetryDelays refusals) {
        mChoice = choice;
        mAttempts = attempts;
        mDecisions = reports;
        mRetryDelays = refusals;
    }

    /** Begins a step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** No further server takes the request: says "not run" only where that is proved. */
    void noServerAccepts(ActiveRequest r, String message) {
        if (r.mMayHaveRun || r.mHeadSent) {
            failed(r, message);
        } else {
            rejected(r, message);
        }
    }

    /** The request was not run, and the caller may come back. */
    void rejected(ActiveRequest r, String message) {
        boolean none = mChoice.servingCount(r.mService) == 0;
        ResultCode code = none ? ResultCode.NO_BACKEND_SERVER : ResultCode.OVERLOADED;
        Duration back =
                r.mMisdirected
                        ? mRetryDelays.afterMisdirection()
                        : mRetryDelays.afterOverload(r.timeLeft(mNow));
        answer(r, code, message, back);
    }

    /** The request is kept away from backend servers. */
    void quarantined(ActiveRequest r) {
        String message = "backend servers ended under this request: " + r.key().fingerprintText();
        answer(r, ResultCode.REQUEST_QUARANTINED, message, mRetryDelays.afterQuarantine());
    }

    /** The request may have run, and its answer is lost. */
    void failed(ActiveRequest r, String message) {
        failed(r, r.mHeadSent ? ResultCode.ANSWER_CUT : ResultCode.BACKEND_FAILED, message);
    }

    /** The time for the answer is over. */
    void expired(ActiveRequest r) {
        failed(r, ResultCode.DEADLINE_EXCEEDED, "the time for the answer was over");
    }

    private void failed(ActiveRequest r, ResultCode code, String message) {
        mAttempts.cancel(r);
        answer(r, code, message, Duration.ZERO);
    }

    private void answer(ActiveRequest r, ResultCode code, String message, Duration back) {
        DirectEffect.AnswerError error =
                new DirectEffect.AnswerError(r.mCaller, code, message, back);
        mEffects.accept(mDecisions.errorAnswered(r, error, mNow));
        if (!r.mDetached) {
            mEffects.accept(error);
        }
    }
}
