package org.laurelweir.hedging;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the hedged requests of each service to a share of its requests. Each router applies the
 * share to its own requests, so that it holds for the fleet without messages between the routers.
 * The unused part is kept from one request to the next: a router may send a service fewer requests
 * in a minute than one hedged request needs.
 */
public final class HedgeBudget {
    /**
     * Maximum number of hedged requests that are saved up. A server that stalls delays a few
     * requests of one router at once; more would let all routers together add a burst.
     */
    private static final double MAX_SAVED = 3;

    /** Tolerance for the rounding of sums of shares. */
    private static final double ROUNDING = 1e-9;

    private final double mShare;
    private final Map<String, Double> mSaved = new HashMap<>();

    /**
     * Creates a budget that nothing is saved in.
     *
     * @param share maximum number of hedged requests, as a share of a service's requests
     */
    public HedgeBudget(double share) {
        mShare = share;
    }

    /** Records a request for a service. */
    public void onRequest(String service) {
        mSaved.merge(service, mShare, (saved, share) -> Math.min(MAX_SAVED, saved + share));
    }

    /** Returns whether a request of a service may be hedged. */
    public boolean permits(String service) {
        return mSaved.getOrDefault(service, 0.0) >= 1 - ROUNDING;
    }

    /** Records that a request of a service is hedged. */
    public void onHedged(String service) {
        mSaved.computeIfPresent(service, (s, saved) -> Math.max(0, saved - 1));
    }
}
