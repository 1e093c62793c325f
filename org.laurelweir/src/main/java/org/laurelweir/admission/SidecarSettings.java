package org.laurelweir.admission;

import java.time.Duration;
import java.util.Set;
import org.laurelweir.placement.BoundConfig;

/**
 * The settings of one sidecar.
 *
 * @param bound how much work its backend server admits
 * @param queue the limits of the waiting queue
 * @param output the limits of the buffered output
 * @param drainTimeout how long running attempts may take after a stop was requested; also the time
 *     after its deadline for an attempt that a resend may ask for
 * @param progressInterval the longest time without a frame on a stream
 * @param outputTokens tokens that an answer is expected to have if the router expects none
 * @param cacheTokens tokens of histories that its backend server keeps cached
 * @param refusalStatuses the HTTP statuses that, by the backend server's documentation, mean that
 *     it refused a call without running it
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
    /** The defaults, which apply until settings arrive. */
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
     * The limits of the waiting queue.
     *
     * @param requests maximum number of requests
     * @param bytes maximum number of bytes of their bodies
     * @param age maximum wait
     */
    public record QueueLimits(int requests, long bytes, Duration age) {}

    /**
     * The limits of the buffered output.
     *
     * @param totalBytes maximum number of bytes over all attempts
     * @param attemptBytes maximum number of bytes of one attempt that its reader has not
     *     acknowledged; above it the sidecar stops reading the backend server's answer
     * @param keepTime how long an attempt without a following stream runs on before it is
     *     cancelled, and how long the output of an ended attempt is kept at least
     */
    public record OutputLimits(long totalBytes, long attemptBytes, Duration keepTime) {}
}
