package org.laurelweir.junit;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions, with a limit that only programs that hang reach. */
public final class Await {
    private static final Duration LIMIT = Duration.ofSeconds(90);
    private static final Duration PAUSE = Duration.ofMillis(20);

    private Await() {}

    /**
     * Returns once a condition holds.
     *
     * @param what told where it never does
     */
    public static void until(String what, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > LIMIT.toNanos()) {
                throw new AssertionError("not within " + LIMIT + ": " + what);
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }
}
