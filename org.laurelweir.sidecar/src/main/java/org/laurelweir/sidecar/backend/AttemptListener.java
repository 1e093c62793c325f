package org.laurelweir.sidecar.backend;

import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;

/** Turns the progress and the end of an attempt's call into events. */
final class AttemptListener implements CallListener {
    private final AttemptId mId;
    private final Consumer<SidecarEvent> mEvents;
    private final Runnable mOnEnd;

    AttemptListener(AttemptId id, Consumer<SidecarEvent> events, Runnable onEnd) {
        mId = id;
        mEvents = events;
        mOnEnd = onEnd;
    }

    @Override
    public void onHead(int status, List<Header> headers) {
        mEvents.accept(new SidecarEvent.EngineHeadReceived(mId, status, headers));
    }

    @Override
    public void onData(byte[] bytes) {
        mEvents.accept(new SidecarEvent.EngineDataReceived(mId, bytes));
    }

    @Override
    public void onFinished(Frame.Usage usage) {
        mOnEnd.run();
        mEvents.accept(new SidecarEvent.EngineFinished(mId, usage));
    }

    @Override
    public void onFailed(boolean possiblySent, String message) {
        mOnEnd.run();
        mEvents.accept(new SidecarEvent.EngineFailed(mId, possiblySent, message));
    }
}
