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

/** Executes the reducer's effects. Only the decision loop's thread calls it. */
final class Effects implements Consumer<SidecarEffect> {
    private final Collaborators mCollaborators;
    private final CountDownLatch mStoppedLatch = new CountDownLatch(1);

    /** The objects that execute the effects. */
    record Collaborators(
            AttemptStreams streams,
            SidecarService service,
            BackendClient backend,
            BackendOrders orders,
            PeerSidecars peers,
            ControlExchange exchange,
            DecisionRing ring,
            SidecarMetrics metrics,
            Consumer<SidecarEffect.Superseded> onSuperseded) {}

    Effects(Collaborators collaborators) {
        mCollaborators = collaborators;
    }

    /**
     * Returns the latch that opens once a stop was requested and everything in flight has ended.
     */
    CountDownLatch stoppedLatch() {
        return mStoppedLatch;
    }

    @Override
    public void accept(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.SendFrame e) {
            mCollaborators.metrics().countAttemptEnd(e.frame().frame());
            mCollaborators.streams().send(e.stream(), e.frame());
        } else if (effect instanceof SidecarEffect.CloseStream e) {
            mCollaborators.streams().close(e.stream());
        } else if (effect instanceof SidecarEffect.StartEngineCall e) {
            mCollaborators.metrics().countAction("start");
            mCollaborators.backend().start(e.request());
        } else if (effect instanceof SidecarEffect.CancelEngineCall e) {
            mCollaborators.metrics().countAction("cancel");
            mCollaborators.backend().cancel(e.attempt());
        } else if (effect instanceof SidecarEffect.SetEngineCallReading e) {
            mCollaborators.backend().setReading(e.attempt(), e.reading());
        } else if (effect instanceof SidecarEffect.LogDecision e) {
            mCollaborators.metrics().countDecision(e.decision());
            mCollaborators.ring().add(e.decision());
            DecisionLog.write(e.decision());
        } else {
            acceptOther(effect);
        }
    }

    private void acceptOther(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.AnswerRevoke e) {
            mCollaborators.metrics().countAction("revoke");
            mCollaborators.service().answer(e);
        } else if (effect instanceof SidecarEffect.SendExchange e) {
            mCollaborators.metrics().setReport(e.report());
            mCollaborators.exchange().send(e);
        } else if (effect instanceof SidecarEffect.LocateChats e) {
            mCollaborators.metrics().countAction("ask_chats");
            mCollaborators.peers().locateChats(e);
        } else if (effect instanceof SidecarEffect.AnswerLocateChats e) {
            mCollaborators.service().answer(e);
        } else if (effect instanceof SidecarEffect.HandOverChats e) {
            mCollaborators.metrics().countAction("hand_over_chats");
            mCollaborators.peers().handOverChats(e);
        } else if (effect instanceof SidecarEffect.PassOrder e) {
            mCollaborators.metrics().countAction("pass_order");
            mCollaborators
                    .orders()
                    .pass(
                            e,
                            (code, message) ->
                                    mCollaborators.service().answerOrder(e.call(), code, message));
        } else if (effect instanceof SidecarEffect.RefuseOrder e) {
            mCollaborators.metrics().countAction("refuse_order");
            mCollaborators.service().answerOrder(e.call(), e.code(), e.message());
        } else if (effect instanceof SidecarEffect.Superseded e) {
            mCollaborators.onSuperseded().accept(e);
        } else if (effect instanceof SidecarEffect.Stopped) {
            mStoppedLatch.countDown();
        }
    }
}
