package org.laurelweir.junit;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions, with a timeout so long that only a hanging program reaches it. */
public final class Await {
    private static final Duration TIMEOUT = Duration.ofSeconds(90);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Await() {}

    /**
     * Waits until a condition holds, or fails after the timeout.
     *
     * @param description names the condition in the failure message
     */
    public static void until(String description, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > TIMEOUT.toNanos()) {
                throw new AssertionError("not within " + TIMEOUT + ": " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    /** Lets some time pass, for programs that do something by themselves meanwhile. */
    public static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
