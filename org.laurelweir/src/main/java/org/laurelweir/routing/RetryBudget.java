package org.laurelweir.routing;

/**
 * Bounds the load of this router's retries: each first attempt adds a share of a token, each retry
 * takes a whole one.
 *
 * <p>Without a budget, a failing service receives every request {@code maxAttempts} times, just
 * when its capacity is lowest. With it, retries never exceed that share of the first attempts plus
 * a small reserve, whatever fails.
 */
final class RetryBudget {
    /** Maximum tokens, which a router with little traffic may spend at once. */
    static final double MAX_TOKENS = 10;

    private double mTokens = MAX_TOKENS;

    /** Adds the share of a token that a first attempt earns. */
    void earn(double share) {
        mTokens = Math.min(MAX_TOKENS, mTokens + share);
    }

    /**
     * Takes a token for a retry.
     *
     * @return false if there is no whole token left
     */
    boolean trySpend() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
