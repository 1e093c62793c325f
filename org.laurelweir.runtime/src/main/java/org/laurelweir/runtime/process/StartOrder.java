package org.laurelweir.runtime.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.laurelweir.runtime.config.Endpoint;

/**
 * Lets a program that starts on the same instance go first. After a stop of everything a router can
 * serve nobody until control has a leader and vouches for its settings. Where both load their
 * classes on one small core at the same time, that comes later than with control alone, and all
 * routers wait for it, those on other instances included.
 */
public final class StartOrder {
    /**
     * The longest wait: the time in which a control instance that starts alone on a small core
     * listens and, with the others, elects a leader and confirms settings. One that does not get
     * there holds a router up by no more than this.
     */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(1300);

    private static final Duration PAUSE = Duration.ofMillis(40);

    private StartOrder() {}

    /**
     * Returns the control instance beside a program, if one is among those that it knows.
     *
     * @param self where the program itself is reached
     * @param controls where control instances are reached
     */
    public static Optional<Endpoint> beside(Endpoint self, List<Endpoint> controls) {
        return controls.stream().filter(c -> c.host().equals(self.host())).findFirst();
    }

    /**
     * Waits until the program that goes first is ready, for a short time at most. Returns at once
     * where it is, as when the caller's program alone was stopped.
     *
     * @param isReady asks it
     * @return whether it is ready
     */
    public static boolean await(BooleanSupplier isReady) {
        long until = System.nanoTime() + LONGEST_WAIT.toNanos();
        while (!isReady.getAsBoolean()) {
            if (System.nanoTime() - until >= 0) {
                return false;
            }
            try {
                Thread.sleep(PAUSE.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
