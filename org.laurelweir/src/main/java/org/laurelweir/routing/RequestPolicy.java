package org.laurelweir.routing;

import java.time.Duration;

/**
 * The settings that apply to one request, taken when it arrives.
 *
 * @param boundFactor a backend server's running work may reach this multiple of the service's mean
 * @param maxAttempts maximum attempts, the first one included
 * @param retryBudgetShare allowed retries per first attempt
 * @param backoffMin minimum wait before a retry
 * @param backoffMax maximum wait before a retry
 * @param accountWeight the client account's weight when accounts compete
 * @param accountMaxRunning maximum requests of the account in flight in the deployment
 * @param accountRate requests per second that the account may start in the deployment
 * @param claimRetention how long a claim on an idempotency key holds past the request's deadline
 * @param silenceTimeout maximum time without a frame before the connection counts as lost
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
    /** The policy until settings arrive. */
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
