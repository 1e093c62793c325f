package org.laurelweir.runtime.process;

import java.time.Duration;

/**
 * Measures elapsed time, including the time during which this machine is suspended.
 *
 * <p>The monotonic clock stops while a machine is suspended, so a permission measured by that clock
 * alone would be used after its end. The time of day advances during a suspension, but may be set
 * back. This clock takes the longer of the two durations: a permission may end early, but ends late
 * only if both happen at once.
 */
public final class ElapsedClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A start time to measure from, as read from both clocks. */
    public record Mark(long steadyNanos, long wallMillis) {}

    /** Returns the current time of both clocks. */
    public Mark mark() {
        return new Mark(System.nanoTime(), System.currentTimeMillis());
    }

    /** Returns the time that has elapsed since a mark. */
    public Duration since(Mark mark) {
        long steady = (System.nanoTime() - mark.steadyNanos()) / NANOS_PER_MILLI;
        long wall = System.currentTimeMillis() - mark.wallMillis();
        return Duration.ofMillis(Math.max(steady, wall));
    }
}
