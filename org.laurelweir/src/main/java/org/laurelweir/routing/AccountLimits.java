package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the running requests and the request rate of each client account. The limits hold for the
 * whole deployment; this router enforces its share of them.
 */
final class AccountLimits {
    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofSeconds(1);

    /** Longest wait that a caller is advised, for an account whose rate is close to zero. */
    private static final double MAX_WAIT_SECONDS = 60;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Usage> mUsages = new HashMap<>();
    private final RouterCount mRouterCount = new RouterCount();

    /** Updates the number of routers that serve. */
    void onRouterCount(Instant now, int routers) {
        mRouterCount.update(now, routers);
    }

    /** Returns the number of routers that serve. A decrease takes effect after a delay only. */
    int routerCount() {
        return mRouterCount.count();
    }

    /**
     * Admits a request if its client account is within its limits, and counts it as running.
     *
     * @return zero if the request is admitted, otherwise the time after which to retry
     */
    Duration admit(Instant now, String account, RequestPolicy policy) {
        double rate = mRouterCount.share(policy.accountRate());
        Usage usage = mUsages.computeIfAbsent(account, a -> new Usage(now, rate));
        usage.refill(now, rate);
        // The share is at least one request: otherwise all routers would reject an account with a
        // low limit.
        if (usage.mRunning >= Math.ceil(mRouterCount.share(policy.accountMaxRunning()))) {
            return CONCURRENCY_RETRY_AFTER;
        }
        if (usage.mTokens < 1) {
            double seconds = (1 - usage.mTokens) / rate;
            // Rounded up: a wait below one nanosecond would read as zero, which means admitted,
            // while the request is not counted.
            return Duration.ofNanos(
                    (long) Math.ceil(Math.min(MAX_WAIT_SECONDS, seconds) * NANOS_PER_SECOND));
        }
        usage.mTokens--;
        usage.mRunning++;
        return Duration.ZERO;
    }

    /** Counts a running request of the account as ended. */
    void release(String account) {
        mUsages.get(account).mRunning--;
    }

    private static final class Usage {
        private int mRunning;
        private double mTokens;
        private Instant mRefilledAt;

        Usage(Instant now, double rate) {
            mRefilledAt = now;
            mTokens = burst(rate);
        }

        /**
         * Returns the requests that the account may start at once: one second's worth, at least
         * one.
         */
        private static double burst(double rate) {
            return Math.max(1, rate);
        }

        void refill(Instant now, double rate) {
            double seconds =
                    Math.max(0, Duration.between(mRefilledAt, now).toNanos() / NANOS_PER_SECOND);
            mTokens = Math.min(burst(rate), mTokens + seconds * rate);
            mRefilledAt = now;
        }
    }
}
