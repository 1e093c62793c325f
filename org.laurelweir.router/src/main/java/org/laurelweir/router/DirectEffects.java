package org.laurelweir.router;

import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.lib.Decision;
import org.laurelweir.router.direct.BackendCalls;
import org.laurelweir.router.rpc.OriginCalls;
import org.laurelweir.router.rpc.UnsentRequests;
import org.laurelweir.routing.RouterEffect;

/** Carries out the effects for requests that the router sends directly to backend servers. */
final class DirectEffects implements Consumer<DirectEffect> {
    private final Callers mCallers;
    private final BackendCalls mCalls;
    private final OriginCalls mOrigins;
    private final UnsentRequests mUnsent;
    private final Consumer<Decision> mDecisions;
    private final RouterMetrics mMetrics;

    DirectEffects(
            Callers callers,
            BackendCalls calls,
            OriginCalls origins,
            UnsentRequests unsent,
            Consumer<Decision> decisions,
            RouterMetrics metrics) {
        mCallers = callers;
        mCalls = calls;
        mOrigins = origins;
        mUnsent = unsent;
        mDecisions = decisions;
        mMetrics = metrics;
    }

    @Override
    public void accept(DirectEffect effect) {
        if (effect instanceof DirectEffect.BeginCall e) {
            mMetrics.countAction("call");
            mCalls.begin(e);
        } else if (effect instanceof DirectEffect.CancelCall e) {
            mMetrics.countAction("cancel_call");
            mCalls.cancel(e);
        } else if (effect instanceof DirectEffect.PauseCall e) {
            mMetrics.countAction(e.paused() ? "pause_call" : "continue_call");
            mCalls.pause(e);
        } else if (effect instanceof DirectEffect.CheckBackend e) {
            mMetrics.countAction("check_backend");
            mCalls.check(e);
        } else if (effect instanceof DirectEffect.RecordStream e) {
            mMetrics.countAction("record_stream");
            mOrigins.record(e);
        } else if (effect instanceof DirectEffect.FindStream e) {
            mMetrics.countAction("find_stream");
            mOrigins.find(e);
        } else if (effect instanceof DirectEffect.BodyDropped e) {
            mCallers.bodyDropped(e);
        } else if (effect instanceof DirectEffect.AnswerComplete e) {
            mCallers.whole(e);
        } else if (effect instanceof DirectEffect.AnswerHead e) {
            mCallers.head(new RouterEffect.AnswerHead(e.caller(), e.status(), e.headers()));
        } else if (effect instanceof DirectEffect.AnswerData e) {
            mCallers.data(new RouterEffect.AnswerData(e.caller(), e.bytes()));
        } else if (effect instanceof DirectEffect.AnswerEnd e) {
            mCallers.end(new RouterEffect.AnswerEnd(e.caller()));
        } else if (effect instanceof DirectEffect.AnswerError e) {
            mCallers.error(
                    new RouterEffect.AnswerError(
                            e.caller(), e.code(), e.message(), e.retryAfter()));
        } else if (effect instanceof DirectEffect.LogDecision e) {
            mDecisions.accept(e.decision());
        } else if (effect instanceof DirectEffect.Explain e) {
            mUnsent.onExplained(e);
        }
    }
}
