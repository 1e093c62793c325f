package org.laurelweir.placement;

/**
 * How much a backend server takes on before its sidecar sends requests on.
 *
 * @param factor the set multiple of the mean that no server exceeds, at least 1
 * @param headroom the share of {@code factor} that admission leaves unused, in 0 to 1. What was
 *     admitted stays while the mean falls, and the mean that a sidecar knows is a second or two
 *     old; without it a server is over the factor whenever the others' requests end first
 * @param uncachedFactor the multiple up to which requests without cached history are taken; between
 *     it and {@code factor} lies the room kept for chats whose history is cached
 * @param capacityFloor the least bound, see {@link LoadBound}
 * @param prefillWeight the cost of an uncached prompt token against an output token's
 * @param maxRedirects how many times a request may be sent on
 */
public record BoundConfig(
        double factor,
        double headroom,
        double uncachedFactor,
        double capacityFloor,
        double prefillWeight,
        int maxRedirects) {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Checks the factors. */
    public BoundConfig {
        if (factor < 1 || uncachedFactor < 1 || uncachedFactor > factor) {
            throw new IllegalArgumentException("factors: " + uncachedFactor + ", " + factor);
        }
        if (headroom < 0 || factor * (1 - headroom) < 1 - ROUNDING_TOLERANCE) {
            throw new IllegalArgumentException("headroom: " + headroom);
        }
    }

    /** Returns the multiple up to which a server admits chats whose history is cached there. */
    public double effectiveFactor() {
        return factor * (1 - headroom);
    }
}
