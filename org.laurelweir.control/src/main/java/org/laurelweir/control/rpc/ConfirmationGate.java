package org.laurelweir.control.rpc;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Delays answers to routers until the settings are confirmed for the first time since the start. A
 * router that got unconfirmed settings would have to ask again, and when all instances start at
 * once no requests are served until then. Thread-safe.
 */
final class ConfirmationGate {
    /** Maximum wait of a reader, well below the time in which routers expect an answer. */
    private static final Duration MAX_WAIT = Duration.ofMillis(500);

    private final ScheduledExecutorService mTimer;
    private final List<Runnable> mWaiting = new ArrayList<>();
    private boolean mOpen;

    ConfirmationGate(ScheduledExecutorService timer) {
        mTimer = timer;
    }

    /**
     * Runs an action when the gate opens or the maximum wait expires; at once if the gate is open.
     */
    void runWhenOpen(Runnable action) {
        synchronized (mWaiting) {
            if (!mOpen) {
                mWaiting.add(action);
                mTimer.schedule(() -> expire(action), MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
                return;
            }
        }
        action.run();
    }

    private void expire(Runnable action) {
        boolean isWaiting;
        synchronized (mWaiting) {
            isWaiting = mWaiting.remove(action);
        }
        if (isWaiting) {
            action.run();
        }
    }

    /** Opens the gate for good and runs all waiting actions. */
    void open() {
        List<Runnable> released;
        synchronized (mWaiting) {
            mOpen = true;
            released = List.copyOf(mWaiting);
            mWaiting.clear();
        }
        released.forEach(Runnable::run);
    }
}
