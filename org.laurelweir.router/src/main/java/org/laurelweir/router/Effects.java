package org.laurelweir.router;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.laurelweir.lib.Decision;
import org.laurelweir.router.direct.BackendCalls;
import org.laurelweir.router.rpc.ClaimCalls;
import org.laurelweir.router.rpc.ControlExchange;
import org.laurelweir.router.rpc.OriginCalls;
import org.laurelweir.router.rpc.SidecarCalls;
import org.laurelweir.router.rpc.UnsentRequests;
import org.laurelweir.routing.RouterEffect;

/** Carries out the effects of the decision loop. Only the loop's thread calls it. */
final class Effects implements Consumer<RouterEffect> {
    private final Callers mCallers;
    private final SidecarCalls mSidecars;
    private final ClaimCalls mClaims;
    private final ControlExchange mExchange;
    private final Consumer<Decision> mDecisions;
    private final DirectEffects mDirect;
    private final RouterMetrics mMetrics;
    private final CountDownLatch mStopped = new CountDownLatch(1);

    Effects(
            Callers callers,
            SidecarCalls sidecars,
            ClaimCalls claims,
            ControlExchange exchange,
            BackendCalls calls,
            OriginCalls origins,
            UnsentRequests unsent,
            Consumer<Decision> decisions,
            RouterMetrics metrics) {
        mCallers = callers;
        mSidecars = sidecars;
        mClaims = claims;
        mExchange = exchange;
        mDecisions = decisions;
        mMetrics = metrics;
        mDirect = new DirectEffects(callers, calls, origins, unsent, decisions, metrics);
    }

    /** Returns a latch that opens when a stop was requested and no request is in flight. */
    CountDownLatch stopped() {
        return mStopped;
    }

    @Override
    public void accept(RouterEffect effect) {
        if (effect instanceof RouterEffect.AnswerHead e) {
            mCallers.head(e);
        } else if (effect instanceof RouterEffect.AnswerData e) {
            mCallers.data(e);
        } else if (effect instanceof RouterEffect.AnswerEnd e) {
            mCallers.end(e);
        } else if (effect instanceof RouterEffect.AnswerError e) {
            mCallers.error(e);
        } else if (effect instanceof RouterEffect.SendExchange e) {
            mExchange.send(e);
        } else if (effect instanceof RouterEffect.LogDecision e) {
            mDecisions.accept(e.decision());
        } else if (effect instanceof RouterEffect.Direct e) {
            mDirect.accept(e.effect());
        } else if (effect instanceof RouterEffect.Stopped) {
            mStopped.countDown();
        } else {
            onAttemptEffect(effect);
        }
    }

    private void onAttemptEffect(RouterEffect effect) {
        if (effect instanceof RouterEffect.BeginAttempt e) {
            mMetrics.countAction(
                    e.request().id().attempt() == 1 ? "first_attempt" : "further_attempt");
            mSidecars.begin(e);
        } else if (effect instanceof RouterEffect.ResumeAttempt e) {
            mMetrics.countAction("resume");
            mSidecars.resume(e);
        } else if (effect instanceof RouterEffect.Acknowledge e) {
            mSidecars.acknowledge(e);
        } else if (effect instanceof RouterEffect.CancelAttempt e) {
            mMetrics.countAction("cancel");
            mSidecars.cancel(e);
        } else if (effect instanceof RouterEffect.DropStream e) {
            mMetrics.countAction("drop_stream");
            mSidecars.drop(e);
        } else if (effect instanceof RouterEffect.Revoke e) {
            mMetrics.countAction("revoke");
            mSidecars.revoke(e);
        } else if (effect instanceof RouterEffect.Claim e) {
            mMetrics.countAction("claim");
            mClaims.claim(e);
        } else if (effect instanceof RouterEffect.SettleClaim e) {
            mClaims.settle(e);
        }
    }
}
