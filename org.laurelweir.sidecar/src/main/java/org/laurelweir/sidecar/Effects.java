package org.laurelweir.sidecar;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.runtime.log.DecisionLog;
import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.sidecar.backend.BackendClient;
import org.laurelweir.sidecar.backend.BackendOrders;
import org.laurelweir.sidecar.rpc.AttemptStreams;
import org.laurelweir.sidecar.rpc.ControlExchange;
import org.laurelweir.sidecar.rpc.PeerSidecars;
import org.laurelweir.sidecar.rpc.SidecarService;

/** Carries the decisions out. Only the decision loop's thread calls it. */
final class Effects implements Consumer<SidecarEffect> {
    private final Parts mParts;
    private final CountDownLatch mStopped = new CountDownLatch(1);

    /** What effects are carried out by. */
    record Parts(
            AttemptStreams streams,
            SidecarService service,
            BackendClient backend,
            BackendOrders orders,
            PeerSidecars peers,
            ControlExchange exchange,
            DecisionRing ring,
            SidecarMetrics metrics,
            Consumer<SidecarEffect.Superseded> superseded) {}

    Effects(Parts parts) {
        mParts = parts;
    }

    /** Returns what opens once everything in flight has ended after a stop was requested. */
    CountDownLatch stopped() {
        return mStopped;
    }

    @Override
    public void accept(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.SendFrame e) {
            mParts.metrics().sent(e.frame().frame());
            mParts.streams().send(e.stream(), e.frame());
        } else if (effect instanceof SidecarEffect.CloseStream e) {
            mParts.streams().close(e.stream());
        } else if (effect instanceof SidecarEffect.StartEngineCall e) {
            mParts.metrics().did("start");
            mParts.backend().start(e.request());
        } else if (effect instanceof SidecarEffect.CancelEngineCall e) {
            mParts.metrics().did("cancel");
            mParts.backend().cancel(e.attempt());
        } else if (effect instanceof SidecarEffect.SetEngineCallReading e) {
            mParts.backend().setReading(e.attempt(), e.reading());
        } else if (effect instanceof SidecarEffect.LogDecision e) {
            mParts.metrics().decided(e.decision());
            mParts.ring().add(e.decision());
            DecisionLog.write(e.decision());
        } else {
            acceptRarer(effect);
        }
    }

    private void acceptRarer(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.AnswerRevoke e) {
            mParts.metrics().did("revoke");
            mParts.service().answer(e);
        } else if (effect instanceof SidecarEffect.SendExchange e) {
            mParts.metrics().reported(e.report());
            mParts.exchange().send(e);
        } else if (effect instanceof SidecarEffect.LocateChats e) {
            mParts.metrics().did("ask_chats");
            mParts.peers().ask(e);
        } else if (effect instanceof SidecarEffect.AnswerLocateChats e) {
            mParts.service().answer(e);
        } else if (effect instanceof SidecarEffect.HandOverChats e) {
            mParts.metrics().did("hand_over_chats");
            mParts.peers().handOver(e);
        } else if (effect instanceof SidecarEffect.PassOrder e) {
            mParts.metrics().did("pass_order");
            mParts.orders()
                    .pass(e, (code, said) -> mParts.service().answerOrder(e.call(), code, said));
        } else if (effect instanceof SidecarEffect.RefuseOrder e) {
            mParts.metrics().did("refuse_order");
            mParts.service().answerOrder(e.call(), e.code(), e.message());
        } else if (effect instanceof SidecarEffect.Superseded e) {
            mParts.superseded().accept(e);
        } else if (effect instanceof SidecarEffect.Stopped) {
            mStopped.countDown();
        }
    }
}
