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
 * Checks twice a second whether the backend server accepts connections. The backend server counts
 * as unreachable after two failures in a row: a single one may come from a full backlog.
 */
public final class BackendProbe implements Service, Readiness {
    private static final long INTERVAL_MILLIS = 500;
    private static final int FAILURE_THRESHOLD = 2;

    private final EventLoops mLoops;
    private final BackendClient mClient;
    private final Consumer<SidecarEvent> mEvents;
    private Future<?> mTask;
    private int mConsecutiveFailures;
    private volatile boolean mReachable = true;

    /**
     * Creates a probe.
     *
     * @param loops the event loops that run the checks
     * @param client opens the connections
     * @param events receives an event when reachability changes
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
                                () -> mClient.checkReachable(this::onConnectAttempt),
                                0,
                                INTERVAL_MILLIS,
                                TimeUnit.MILLISECONDS);
    }

    private synchronized void onConnectAttempt(boolean connected) {
        mConsecutiveFailures = connected ? 0 : mConsecutiveFailures + 1;
        boolean reachable = mConsecutiveFailures < FAILURE_THRESHOLD;
        if (reachable != mReachable) {
            mReachable = reachable;
            mEvents.accept(new SidecarEvent.EngineReachabilityChanged(reachable));
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
