package org.laurelweir.placement;

/**
 * Decides whether a server takes a request, by what really runs beside it.
 *
 * <p>Two bounds share one rule. A request whose history is cached here is worth a wait and the full
 * factor, since elsewhere its whole prompt is computed again. One without cached history runs as
 * well on any server, so it goes on to the next in rank from a lower bound; that evens the load out
 * with work that loses nothing by moving.
 */
public final class BoundPolicy {
    /** Cached share of the prompt from which a chat is kept where it is. */
    private static final double MIN_CACHED_SHARE = 0.5;

    private final BoundConfig mConfig;

    /** Creates a policy. */
    public BoundPolicy(BoundConfig config) {
        mConfig = config;
    }

    /**
     * Decides. A request whose deadline cannot be met here is sent on, or rejected at once where
     * there is nowhere to send it: run late it would help nobody and delay others.
     *
     * @param query the request
     * @param runningWork what runs here
     * @param meanWork the service's mean, as last heard
     */
    public BoundDecision decide(BoundQuery query, double runningWork, double meanWork) {
        boolean canRedirect = query.hasNextServer() && query.redirects() < mConfig.maxRedirects();
        BoundDecision elsewhere = canRedirect ? BoundDecision.REDIRECT : BoundDecision.REJECT;
        if (!query.deadlineReachable()) {
            return elsewhere;
        }
        boolean stays = hasCacheAffinity(query.work()) || !canRedirect;
        double factor = stays ? mConfig.effectiveFactor() : uncachedFactor();
        double units = query.work().units(mConfig.prefillWeight());
        if (LoadBound.admits(runningWork, units, meanWork, factor, mConfig.capacityFloor())) {
            return BoundDecision.ADMIT;
        }
        return stays && !query.hasWaited() ? BoundDecision.WAIT : elsewhere;
    }

    private double uncachedFactor() {
        return Math.min(mConfig.uncachedFactor(), mConfig.effectiveFactor());
    }

    /** Returns whether enough of the prompt is cached for the chat to be kept where it is. */
    public static boolean hasCacheAffinity(WorkEstimate work) {
        return work.cachedTokens() > 0
                && work.cachedTokens() >= MIN_CACHED_SHARE * work.promptTokens();
    }
}
