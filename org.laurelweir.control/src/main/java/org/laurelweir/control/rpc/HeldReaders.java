package org.laurelweir.control.rpc;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Readers that wait for the first confirmation of the settings since the start. Told "not
 * confirmed" they would have to ask again, and after a start of everything the pause until then is
 * time in which nobody serves. Thread-safe.
 */
final class HeldReaders {
    /** How long a reader waits: well under the time in which routers expect an answer. */
    private static final Duration HOLD = Duration.ofMillis(500);

    private final ScheduledExecutorService mTimer;
    private final List<Runnable> mHeld = new ArrayList<>();
    private boolean mReleased;

    HeldReaders(ScheduledExecutorService timer) {
        mTimer = timer;
    }

    /** Runs an action once all are released, or the wait has taken too long. */
    void hold(Runnable action) {
        synchronized (mHeld) {
            if (!mReleased) {
                mHeld.add(action);
                mTimer.schedule(() -> giveUp(action), HOLD.toMillis(), TimeUnit.MILLISECONDS);
                return;
            }
        }
        action.run();
    }

    private void giveUp(Runnable action) {
        boolean held;
        synchronized (mHeld) {
            held = mHeld.remove(action);
        }
        if (held) {
            action.run();
        }
    }

    /** Runs what waits, and holds nothing any more. */
    void release() {
        List<Runnable> held;
        synchronized (mHeld) {
            mReleased = true;
            held = List.copyOf(mHeld);
            mHeld.clear();
        }
        held.forEach(Runnable::run);
    }
}
