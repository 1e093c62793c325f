package org.laurelweir.sidecar;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.runtime.log.DecisionLog;
import org.laurelweir.sidecar.backend.BackendClient;
import org.laurelweir.sidecar.rpc.AttemptStreams;
import org.laurelweir.sidecar.rpc.ControlExchange;
import org.laurelweir.sidecar.rpc.SidecarService;

/** Carries the decisions out. Only the decision loop's thread calls it. */
final class Effects implements Consumer<SidecarEffect> {
    private final AttemptStreams mStreams;
    private final SidecarService mService;
    private final BackendClient mBackend;
    private final ControlExchange mExchange;
    private final CountDownLatch mStopped = new CountDownLatch(1);

    Effects(
            AttemptStreams streams,
            SidecarService service,
            BackendClient backend,
            ControlExchange exchange) {
        mStreams = streams;
        mService = service;
        mBackend = backend;
        mExchange = exchange;
    }

    /** Returns what opens once everything in flight has ended after a stop was requested. */
    CountDownLatch stopped() {
        return mStopped;
    }

    @Override
    public void accept(SidecarEffect effect) {
        if (effect instanceof SidecarEffect.SendFrame e) {
            mStreams.send(e.stream(), e.frame());
        } else if (effect instanceof SidecarEffect.CloseStream e) {
            mStreams.close(e.stream());
        } else if (effect instanceof SidecarEffect.StartEngineCall e) {
            mBackend.start(e.request());
        } else if (effect instanceof SidecarEffect.CancelEngineCall e) {
            mBackend.cancel(e.attempt());
        } else if (effect instanceof SidecarEffect.ReadEngineCall e) {
            mBackend.setReading(e.attempt(), e.reading());
        } else if (effect instanceof SidecarEffect.AnswerRevoke e) {
            mService.answer(e);
        } else if (effect instanceof SidecarEffect.SendExchange e) {
            mExchange.send(e);
        } else if (effect instanceof SidecarEffect.Decided e) {
            DecisionLog.write(e.decision());
        } else if (effect instanceof SidecarEffect.Stopped) {
            mStopped.countDown();
        }
    }
}
