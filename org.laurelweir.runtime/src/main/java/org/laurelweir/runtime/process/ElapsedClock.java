package org.laurelweir.runtime.process;

import java.time.Duration;

/**
 * Measures time that has passed for everyone else, suspensions of this machine included.
 *
 * <p>The steady clock stands still while a machine is suspended, so that a permission measured by
 * it alone would outlive its end. The time of day goes on, but may be set back. The longer of the
 * two is taken: a permission may end early that way, and never late unless both happen at once.
 */
public final class ElapsedClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A moment to measure from. */
    public record Mark(long steadyNanos, long wallMillis) {}

    /** Returns the present moment. */
    public Mark mark() {
        return new Mark(System.nanoTime(), System.currentTimeMillis());
    }

    /** Returns how much time has passed since a moment. */
    public Duration since(Mark mark) {
        long steady = (System.nanoTime() - mark.steadyNanos()) / NANOS_PER_MILLI;
        long wall = System.currentTimeMillis() - mark.wallMillis();
        return Duration.ofMillis(Math.max(steady, wall));
    }
}
