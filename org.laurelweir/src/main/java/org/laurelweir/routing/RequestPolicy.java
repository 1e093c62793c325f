package org.laurelweir.routing;

import java.time.Duration;

/**
 * The settings that bind one request, taken when it arrives.
 *
 * @param boundFactor running work may reach this multiple of the service's mean
 * @param maxAttempts most attempts, the first included
 * @param retryBudgetShare retries allowed as a share of first attempts
 * @param backoffMin shortest wait before a retry
 * @param backoffMax longest wait before a retry
 * @param accountWeight the client account's share when accounts compete
 * @param accountMaxRunning most requests of the account in flight in the deployment
 * @param accountRate requests a second that the account may start in the deployment
 * @param claimRetention how long past its deadline a claim on an idempotency key holds
 * @param silenceTimeout longest time without a frame before the connection is taken as lost
 */
public record RequestPolicy(
        double boundFactor,
        int maxAttempts,
        double retryBudgetShare,
        Duration backoffMin,
        Duration backoffMax,
        double accountWeight,
        int accountMaxRunning,
        double accountRate,
        Duration claimRetention,
        Duration silenceTimeout) {
    /** What holds until settings arrive. */
    public static final RequestPolicy DEFAULT =
            new RequestPolicy(
                    1.25,
                    3,
                    0.1,
                    Duration.ofMillis(10),
                    Duration.ofMillis(500),
                    1,
                    1_000_000,
                    1_000_000,
                    Duration.ofMinutes(15),
                    Duration.ofSeconds(2));
}
