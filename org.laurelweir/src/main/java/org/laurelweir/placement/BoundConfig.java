package org.laurelweir.placement;

/**
 * Settings of the bound on a backend server's load, above which its sidecar redirects requests.
 *
 * @param factor the multiple of the service's mean work that no backend server may exceed, at least
 *     1
 * @param headroom the share of {@code factor} that admission leaves unused, from 0 to 1. Admitted
 *     work stays while the mean falls, and the mean that a sidecar knows is one or two seconds old.
 *     Without headroom a backend server exceeds the factor whenever the others' requests end first
 * @param uncachedFactor the multiple up to which requests without cached history are admitted. The
 *     capacity between it and {@code factor} is reserved for chats whose history is cached
 * @param capacityFloor the minimum bound, see {@link LoadBound}
 * @param prefillWeight the cost of an uncached prompt token, relative to an output token
 * @param maxRedirects the maximum number of redirects per request
 */
public record BoundConfig(
        double factor,
        double headroom,
        double uncachedFactor,
        double capacityFloor,
        double prefillWeight,
        int maxRedirects) {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Validates the factors and the headroom. */
    public BoundConfig {
        if (factor < 1 || uncachedFactor < 1 || uncachedFactor > factor) {
            throw new IllegalArgumentException(
                    "bound factors must satisfy 1 <= uncachedFactor <= factor: "
                            + uncachedFactor
                            + ", "
                            + factor);
        }
        if (headroom < 0 || factor * (1 - headroom) < 1 - ROUNDING_TOLERANCE) {
            throw new IllegalArgumentException(
                    "headroom must be in [0, 1 - 1 / factor]: " + headroom);
        }
    }

    /**
     * Returns the factor less the headroom: the multiple up to which a server admits chats whose
     * history is cached there.
     */
    public double effectiveFactor() {
        return factor * (1 - headroom);
    }
}
