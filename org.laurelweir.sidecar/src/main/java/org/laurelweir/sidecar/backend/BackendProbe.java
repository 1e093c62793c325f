package org.laurelweir.sidecar.backend;

import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.metrics.Readiness;
import org.laurelweir.runtime.rpc.EventLoops;

/**
 * Tries twice a second whether the backend server takes connections. Two tries that fail in a row
 * count: one may only have met a full backlog.
 */
public final class BackendProbe implements Service, Readiness {
    private static final long INTERVAL_MILLIS = 500;
    private static final int FAILURES = 2;

    private final EventLoops mLoops;
    private final BackendClient mClient;
    private final Consumer<SidecarEvent> mEvents;
    private Future<?> mTask;
    private int mFailed;
    private volatile boolean mReachable = true;

    /**
     * Creates a probe.
     *
     * @param loops run it
     * @param client connects
     * @param events hears of changes
     */
    public BackendProbe(EventLoops loops, BackendClient client, Consumer<SidecarEvent> events) {
        mLoops = loops;
        mClient = client;
        mEvents = events;
    }

    @Override
    public void start() {
        mTask =
                mLoops.group()
                        .scheduleWithFixedDelay(
                                () -> mClient.tryConnecting(this::tried),
                                0,
                                INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    private synchronized void tried(boolean connected) {
        mFailed = connected ? 0 : mFailed + 1;
        boolean reachable = mFailed < FAILURES;
        if (reachable != mReachable) {
            mReachable = reachable;
            mEvents.accept(new SidecarEvent.EngineReachable(reachable));
        }
    }

    @Override
    public Optional<String> notReadyReason() {
        return mReachable ? Optional.empty() : Optional.of("the backend server can't be reached");
    }

    @Override
    public void stop() {
        if (mTask != null) {
            mTask.cancel(false);
        }
    }
}
