package org.laurelweir.routing;

/**
 * Bounds how much load this router's retries add: each first attempt earns a share of a retry, each
 * retry spends a whole one.
 *
 * <p>Without it a failing service gets every request {@code maxAttempts} times, just when it can
 * take least. With it the retries are at most the share of the first attempts and a small reserve,
 * whatever fails.
 */
final class RetryBudget {
    /** Retries that a router with little traffic may spend at once. */
    static final double MAX_TOKENS = 10;

    private double mTokens = MAX_TOKENS;

    /** Notes a first attempt. */
    void earn(double share) {
        mTokens = Math.min(MAX_TOKENS, mTokens + share);
    }

    /** Takes one retry out of the budget, if it holds one. */
    boolean trySpend() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
