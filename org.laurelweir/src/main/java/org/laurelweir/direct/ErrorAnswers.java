package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import java.util.function.Function;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.quarantine.SuspectKey;

/**
 * Answers callers with errors. The result code says why there is no answer of a backend server, and
 * whether the request may have run.
 */
final class ErrorAnswers {
    private final ServerChoice mChoice;
    private final Attempts mAttempts;
    private final RequestDecisions mDecisions;
    private final RetryDelays mRetryDelays;
    private final Function<ActiveRequest, Duration> mContendedDelays;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    ErrorAnswers(
            ServerChoice choice,
            Attempts attempts,
            RequestDecisions decisions,
            RetryDelays retryDelays,
            Function<ActiveRequest, Duration> contendedDelays) {
        mChoice = choice;
        mAttempts = attempts;
        mDecisions = decisions;
        mRetryDelays = retryDelays;
        mContendedDelays = contendedDelays;
    }

    /** Sets the time and the receiver of effects for one step of the reducer. */
    void beginStep(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /**
     * Answers that no further server accepts the request; says "not run" only if that is certain.
     */
    void noServerAccepts(ActiveRequest r, String message) {
        if (r.mMayHaveRun || r.mHeadSent) {
            failed(r, message);
        } else {
            rejected(r, message);
        }
    }

    /** Answers that the request was not run and that the caller may retry. */
    void rejected(ActiveRequest r, String message) {
        answer(r, rejectionCode(r), message, retryDelay(r));
    }

    private Duration retryDelay(ActiveRequest r) {
        Duration backoff = mChoice.timeUntilBackoffEnds(r, mNow);
        if (backoff.isZero() && r.mMisdirected) {
            return mRetryDelays.afterMisdirection();
        }
        if (r.mRequest.terms().contended()) {
            return mContendedDelays.apply(r);
        }
        return backoff.isZero()
                ? mRetryDelays.afterOverload(r.timeLeft(mNow))
                : mRetryDelays.afterBackoff(backoff);
    }

    private ResultCode rejectionCode(ActiveRequest r) {
        if (mChoice.servingCount(r.mService) == 0) {
            return ResultCode.NO_BACKEND_SERVER;
        }
        boolean isVersionGone =
                r.mRequiredVersion != null && !mChoice.hasVersion(r.mService, r.mRequiredVersion);
        return isVersionGone ? ResultCode.STREAM_VERSION_GONE : ResultCode.OVERLOADED;
    }

    /** Answers that a stream can't go on, since it is not known what began it. */
    void unknownStream(ActiveRequest r, String message) {
        Duration retryAfter = mRetryDelays.afterOverload(r.timeLeft(mNow));
        answer(r, ResultCode.STREAM_UNKNOWN, message, retryAfter);
    }

    /** Answers that the request, or a part of its prompt, is quarantined. */
    void quarantined(ActiveRequest r, SuspectKey cause) {
        Duration retryAfter = mRetryDelays.afterQuarantine();
        answer(r, ResultCode.REQUEST_QUARANTINED, quarantineMessage(cause), retryAfter);
    }

    static String quarantineMessage(SuspectKey cause) {
        String suspect = cause.isPromptPart() ? "a part of this prompt: " : "this request: ";
        return "backend servers ended under " + suspect + cause.idText();
    }

    /** Answers that the request may have run and that its answer is lost. */
    void failed(ActiveRequest r, String message) {
        failed(r, r.mHeadSent ? ResultCode.ANSWER_CUT : ResultCode.BACKEND_FAILED, message);
    }

    /** Answers that the deadline has passed. */
    void expired(ActiveRequest r) {
        failed(r, ResultCode.DEADLINE_EXCEEDED, "the deadline for the answer has passed");
    }

    private void failed(ActiveRequest r, ResultCode code, String message) {
        mAttempts.cancel(r);
        answer(r, code, message, Duration.ZERO);
    }

    private void answer(ActiveRequest r, ResultCode code, String message, Duration retryAfter) {
        DirectEffect.AnswerError error =
                new DirectEffect.AnswerError(r.mCaller, code, message, retryAfter);
        mEffects.accept(mDecisions.errorAnswered(r, error, mNow));
        if (!r.mDetached) {
            mEffects.accept(error);
        }
    }
}
