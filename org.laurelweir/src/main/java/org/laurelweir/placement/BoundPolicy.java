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
    private static final double AFFINE_SHARE = 0.5;

    private final BoundConfig mConfig;

    /** Creates a policy. */
    public BoundPolicy(BoundConfig config) {
        mConfig = config;
    }

    /**
     * Decides.
     *
     * @param work the request with what is cached here
     * @param redirects how often it was sent on already
     * @param hasNext whether there is a next server in rank that it has not been to
     * @param waited whether it has waited here already
     * @param runningWork what runs here
     * @param meanWork the service's mean, as last heard
     */
    public BoundDecision decide(
            WorkEstimate work,
            int redirects,
            boolean hasNext,
            boolean waited,
            double runningWork,
            double meanWork) {
        boolean canRedirect = hasNext && redirects < mConfig.maxRedirects();
        boolean affine = isAffine(work);
        double factor = affine || !canRedirect ? mConfig.factor() : mConfig.openFactor();
        double units = work.units(mConfig.prefillWeight());
        if (LoadBound.admits(runningWork, units, meanWork, factor, mConfig.capacityFloor())) {
            return BoundDecision.ADMIT;
        }
        if (!waited && (affine || !canRedirect)) {
            return BoundDecision.WAIT;
        }
        return canRedirect ? BoundDecision.REDIRECT : BoundDecision.REJECT;
    }

    /** Returns whether enough of the prompt is cached for the chat to be kept where it is. */
    public static boolean isAffine(WorkEstimate work) {
        return work.cachedTokens() > 0 && work.cachedTokens() >= AFFINE_SHARE * work.promptTokens();
    }
}
