package org.laurelweir.placement;

/**
 * Decides whether a server admits a request, from the work that runs there.
 *
 * <p>Two bounds apply. A request whose history is cached here may wait and use the effective
 * factor, because any other server computes its whole prompt again. A request without cached
 * history runs equally well anywhere, so it is redirected from a lower bound on. This balances the
 * load with requests that lose nothing by moving.
 */
public final class BoundPolicy {
    /** Minimum cached share of the prompt at which a chat stays on its server. */
    private static final double MIN_CACHED_SHARE = 0.5;

    private final BoundConfig mConfig;

    /** Creates a policy with the given bounds. */
    public BoundPolicy(BoundConfig config) {
        mConfig = config;
    }

    /**
     * Decides about a request. A request whose deadline can't be met here is redirected, or
     * rejected at once if it can't be redirected: run too late, it would only delay others.
     *
     * @param query the request
     * @param runningWork the work that runs here
     * @param meanWork the service's mean work, as last reported
     */
    public BoundDecision decide(BoundQuery query, double runningWork, double meanWork) {
        boolean canRedirect = query.hasNextServer() && query.redirects() < mConfig.maxRedirects();
        BoundDecision redirectOrReject =
                canRedirect ? BoundDecision.REDIRECT : BoundDecision.REJECT;
        if (!query.deadlineReachable()) {
            return redirectOrReject;
        }
        boolean stays = hasCacheAffinity(query.work()) || !canRedirect;
        double factor = stays ? mConfig.effectiveFactor() : uncachedFactor();
        double units = query.work().units(mConfig.prefillWeight());
        if (LoadBound.admits(runningWork, units, meanWork, factor, mConfig.capacityFloor())) {
            return BoundDecision.ADMIT;
        }
        return stays && !query.hasWaited() ? BoundDecision.WAIT : redirectOrReject;
    }

    private double uncachedFactor() {
        return Math.min(mConfig.uncachedFactor(), mConfig.effectiveFactor());
    }

    /** Returns whether enough of the prompt is cached for the chat to stay on its server. */
    public static boolean hasCacheAffinity(WorkEstimate work) {
        return work.cachedTokens() > 0
                && work.cachedTokens() >= MIN_CACHED_SHARE * work.promptTokens();
    }
}
