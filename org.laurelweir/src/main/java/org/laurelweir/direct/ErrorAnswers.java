package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.laurelweir.lib.ResultCode;

/** Tells callers why they get no answer of a backend server, and whether their request has run. */
final class ErrorAnswers {
    private final ServerChoice mChoice;
    private final Attempts mAttempts;
    private final Reports mReports;
    private final Refusals mRefusals;
    private Instant mNow;
    private Consumer<? super DirectEffect> mEffects;

    ErrorAnswers(ServerChoice choice, Attempts attempts, Reports reports, Refusals refusals) {
        mChoice = choice;
        mAttempts = attempts;
        mReports = reports;
        mRefusals = refusals;
    }

    /** Begins a step of the reducer. */
    void enter(Instant now, Consumer<? super DirectEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** No further server takes the request: says "not run" only where that is proved. */
    void gaveUp(ActiveCall r, String message) {
        if (r.mMayHaveRun || r.mHeadSent) {
            failed(r, message);
        } else {
            refused(r, message);
        }
    }

    /** The request was not run, and the caller may come back. */
    void refused(ActiveCall r, String message) {
        boolean none = mChoice.size(r.mService) == 0;
        ResultCode code = none ? ResultCode.NO_BACKEND_SERVER : ResultCode.OVERLOADED;
        Duration back = r.mMisdirected ? mRefusals.atOnce() : mRefusals.comeBack(r.timeLeft(mNow));
        tell(r, code, message, back);
    }

    /** The request is kept away from backend servers. */
    void quarantined(ActiveCall r) {
        String message = "backend servers ended under this request: " + r.key().fingerprintText();
        tell(r, ResultCode.REQUEST_QUARANTINED, message, mRefusals.quarantined());
    }

    /** The request may have run, and its answer is lost. */
    void failed(ActiveCall r, String message) {
        failed(r, r.mHeadSent ? ResultCode.ANSWER_CUT : ResultCode.BACKEND_FAILED, message);
    }

    /** The time for the answer is over. */
    void expired(ActiveCall r) {
        failed(r, ResultCode.DEADLINE_EXCEEDED, "the time for the answer was over");
    }

    private void failed(ActiveCall r, ResultCode code, String message) {
        mAttempts.cancel(r);
        tell(r, code, message, Duration.ZERO);
    }

    private void tell(ActiveCall r, ResultCode code, String message, Duration back) {
        DirectEffect.AnswerError error =
                new DirectEffect.AnswerError(r.mCaller, code, message, back);
        mEffects.accept(mReports.gaveUp(r, error, mNow));
        if (!r.mDetached) {
            mEffects.accept(error);
        }
    }
}
