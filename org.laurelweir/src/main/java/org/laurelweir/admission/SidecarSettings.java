package org.laurelweir.admission;

import java.time.Duration;
import java.util.Set;
import org.laurelweir.placement.BoundConfig;

/**
 * The settings that bind one sidecar.
 *
 * @param bound how much work its backend server takes on
 * @param queue what may wait
 * @param output what is kept of answers
 * @param drainTimeout how long running requests may take once draining has begun
 * @param progressInterval longest silence on a stream
 * @param outputTokens tokens that an answer is expected to have where the router expects none
 * @param cacheTokens tokens of histories that its backend server keeps cached
 * @param refusalStatuses the backend server's HTTP statuses that are documented to mean that a call
 *     was refused before it was run
 */
public record SidecarSettings(
        BoundConfig bound,
        QueueLimits queue,
        OutputLimits output,
        Duration drainTimeout,
        Duration progressInterval,
        int outputTokens,
        long cacheTokens,
        Set<Integer> refusalStatuses) {
    /** What holds until settings arrive. */
    public static final SidecarSettings DEFAULT =
            new SidecarSettings(
                    new BoundConfig(1.25, 0.05, 1.1, 8192, 0.1, 2),
                    new QueueLimits(64, 16L << 20, Duration.ofSeconds(2)),
                    new OutputLimits(64L << 20, 1L << 20, Duration.ofSeconds(30)),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(500),
                    256,
                    1_000_000,
                    Set.of());

    /** Returns these settings with other refusal statuses. */
    public SidecarSettings withRefusalStatuses(Set<Integer> statuses) {
        return new SidecarSettings(
                bound,
                queue,
                output,
                drainTimeout,
                progressInterval,
                outputTokens,
                cacheTokens,
                statuses);
    }

    /**
     * What may wait for room.
     *
     * @param requests most requests
     * @param bytes most bytes of bodies
     * @param age longest wait
     */
    public record QueueLimits(int requests, long bytes, Duration age) {}

    /**
     * What is kept of answers.
     *
     * @param totalBytes most bytes over all attempts
     * @param attemptBytes most bytes of one attempt that its reader has not acknowledged; over it
     *     the backend server's answer is read no further
     * @param keepTime how long an attempt goes on, and its output is kept, while nobody follows it
     */
    public record OutputLimits(long totalBytes, long attemptBytes, Duration keepTime) {}
}
