package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds each client account's requests: how many run and how many start. The limits are the
 * deployment's; this router holds its share of them.
 */
final class AccountLimits {
    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofSeconds(1);

    /** For an account that may start next to nothing; it is told to look again. */
    private static final double MAX_WAIT_SECONDS = 60;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Usage> mUsages = new HashMap<>();
    private final RouterCount mRouterCount = new RouterCount();

    /** Takes note of how many routers serve. */
    void onRouterCount(Instant now, int routers) {
        mRouterCount.update(now, routers);
    }

    /** Returns how many routers serve; a lower number than before counts after a while only. */
    int routerCount() {
        return mRouterCount.count();
    }

    /**
     * Counts a request in, if its account may start it.
     *
     * @return zero if it may, else when to come back
     */
    Duration admit(Instant now, String account, RequestPolicy policy) {
        double rate = mRouterCount.share(policy.accountRate());
        Usage u = mUsages.computeIfAbsent(account, a -> new Usage(now, rate));
        u.refill(now, rate);
        // At least one each: an account with a low limit would else be shut out everywhere.
        if (u.mRunning >= Math.ceil(mRouterCount.share(policy.accountMaxRunning()))) {
            return CONCURRENCY_RETRY_AFTER;
        }
        if (u.mTokens < 1) {
            double seconds = (1 - u.mTokens) / rate;
            // Rounded up: a wait below a nanosecond would else read as "may start", uncounted.
            return Duration.ofNanos(
                    (long) Math.ceil(Math.min(MAX_WAIT_SECONDS, seconds) * NANOS_PER_SECOND));
        }
        u.mTokens--;
        u.mRunning++;
        return Duration.ZERO;
    }

    /** Counts a request out. */
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

        /** What the account may start at once: one second's worth, and never less than one. */
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
