package org.laurelweir.hedging;

/**
 * How much of a service's capacity is in use. Unknown figures are NaN or 0.
 *
 * @param meanRequests mean number of requests at a backend server, over all routers
 * @param meanSlots mean number of requests that a backend server runs concurrently
 * @param meanTokens mean number of tokens that requests hold at an engine, over all routers
 * @param memoryTokens number of tokens that an engine's memory holds; 0 for a service without
 *     engines, of which only the slots count
 */
public record ServiceUse(
        double meanRequests, double meanSlots, double meanTokens, long memoryTokens) {
    /** Returns whether the figures are known that tell the share in use. */
    boolean isKnown() {
        boolean slotsKnown = meanRequests >= 0 && meanSlots > 0;
        return slotsKnown && (memoryTokens <= 0 || meanTokens >= 0);
    }

    /** Returns the share of the capacity in use, by the figure of which more is in use. */
    double share() {
        double ofSlots = meanRequests / meanSlots;
        return memoryTokens <= 0 ? ofSlots : Math.max(ofSlots, meanTokens / memoryTokens);
    }
}
