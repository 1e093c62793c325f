package org.laurelweir.admission;

import java.time.Duration;

/**
 * The settings that bind one sidecar.
 *
 * @param boundFactor running work may reach this multiple of the service's mean
 * @param queueRequests most requests that wait
 * @param queueBytes most bytes of bodies that wait
 * @param queueAge longest time that a request waits
 * @param outputKeepBytes most bytes of unacknowledged or kept output, over all attempts
 * @param outputKeepTime how long output that nobody follows is kept
 * @param drainTimeout how long running requests may take once draining has begun
 * @param progressInterval longest silence on a stream
 * @param outputTokens tokens that an answer is expected to have where the caller set no limit
 */
public record SidecarSettings(
        double boundFactor,
        int queueRequests,
        long queueBytes,
        Duration queueAge,
        long outputKeepBytes,
        Duration outputKeepTime,
        Duration drainTimeout,
        Duration progressInterval,
        int outputTokens) {
    /** What holds until settings arrive. */
    public static final SidecarSettings DEFAULT =
            new SidecarSettings(
                    1.25,
                    64,
                    16L << 20,
                    Duration.ofSeconds(2),
                    64L << 20,
                    Duration.ofSeconds(30),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(500),
                    256);
}
