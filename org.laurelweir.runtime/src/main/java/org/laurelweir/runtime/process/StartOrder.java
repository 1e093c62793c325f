package org.laurelweir.runtime.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.laurelweir.runtime.config.Endpoint;

/**
 * Delays a program's start until another program on the same instance is ready. After a stop of the
 * whole fleet, a router cannot serve until control has a leader and confirms its settings. If a
 * router and a control instance load their classes at the same time on one small core, control
 * becomes ready later than it does alone, and all routers wait for it, including those on other
 * instances.
 */
public final class StartOrder {
    /**
     * The maximum wait. Within this time, a control instance that starts alone on a small core
     * listens and, with the others, elects a leader and confirms settings. A control instance that
     * needs longer delays a router by no more than this.
     */
    private static final Duration MAX_WAIT = Duration.ofMillis(1300);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(40);

    private StartOrder() {}

    /**
     * Returns the control instance on the same host as a program, if the program knows one.
     *
     * @param self the program's own address
     * @param controls addresses of the control instances that the program knows
     */
    public static Optional<Endpoint> localControlInstance(Endpoint self, List<Endpoint> controls) {
        return controls.stream().filter(c -> c.host().equals(self.host())).findFirst();
    }

    /**
     * Waits until the other program is ready, up to a short timeout. Returns at once if the other
     * program is ready already, for example after a restart of the calling program alone.
     *
     * @param isReady checks whether the other program is ready
     * @return whether the other program became ready in time
     */
    public static boolean awaitReady(BooleanSupplier isReady) {
        long deadlineNanos = System.nanoTime() + MAX_WAIT.toNanos();
        while (!isReady.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                return false;
            }
            try {
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
