package org.laurelweir.runtime.process;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the time of day and then advances monotonically. Setting the machine's
 * time neither moves a deadline nor ends a lease that is measured by this clock.
 */
public final class SteadyClock implements InstantSource {
    private final Instant mStartTime = Instant.now();
    private final long mStartNanos = System.nanoTime();

    @Override
    public Instant instant() {
        return mStartTime.plus(Duration.ofNanos(System.nanoTime() - mStartNanos));
    }
}
