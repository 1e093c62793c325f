package org.laurelweir.waiting;

import java.util.HashMap;
import java.util.Map;

/**
 * The virtual time of start-time fair queueing. Each request gets a start tag: the virtual time at
 * which the share of its client account lets it begin. An account that surges only gets later tags
 * for its own requests.
 */
public final class VirtualTime {
    /** Number of accounts up to which tags that have passed are kept. */
    private static final int MIN_CLEANUP_SIZE = 1024;

    private final Map<String, Double> mNextTags = new HashMap<>();
    private double mNow;

    /** Number of accounts above which tags that have passed are removed. */
    private int mCleanupSize = MIN_CLEANUP_SIZE;

    /**
     * Returns the start tag of an account's next request, and adds its work to later tags.
     *
     * @param weightedWork the work of the request in proportion to the account's weight
     */
    public double takeTag(String account, double weightedWork) {
        double tag = Math.max(mNow, mNextTags.getOrDefault(account, 0.0));
        mNextTags.put(account, tag + weightedWork);
        return tag;
    }

    /** Takes back the work of a request that left without being served. */
    void refund(String account, double weightedWork) {
        mNextTags.computeIfPresent(
                account, (a, t) -> t - weightedWork <= mNow ? null : t - weightedWork);
    }

    /** Advances the virtual time to the start tag of a request that is served. */
    public void onServed(double tag) {
        mNow = Math.max(mNow, tag);
        if (mNextTags.size() > mCleanupSize) {
            mNextTags.values().removeIf(t -> t <= mNow);
            // Not with each request: the tags of many accounts may all be still to come.
            mCleanupSize = Math.max(MIN_CLEANUP_SIZE, 2 * mNextTags.size());
        }
    }

    /** Returns the current virtual time. */
    public double now() {
        return mNow;
    }
}
