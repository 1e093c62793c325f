package org.laurelweir.runtime.process;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the time of day and then only runs: setting the machine's time moves no
 * deadline and ends no lease of those who use it.
 */
public final class SteadyClock implements InstantSource {
    private final Instant mStarted = Instant.now();
    private final long mStartedNanos = System.nanoTime();

    @Override
    public Instant instant() {
        return mStarted.plus(Duration.ofNanos(System.nanoTime() - mStartedNanos));
    }
}
