package org.laurelweir.placement;

/**
 * Says whether a backend server may take more work: none may carry more than a set multiple of the
 * mean of its service. All amounts are in the unit of {@link WorkEstimate#units}.
 *
 * <p>Two rules keep small loads from being refused for nothing. The bound is never below a floor,
 * what one engine carries without harm: with one request running on ten engines the mean is a tenth
 * of a request, and a bare multiple of it would admit nothing. And an idle server takes any one
 * request: else a request larger than every bound would run nowhere. So a server carries at most
 * the larger of {@code factor * mean}, the floor, and one request.
 */
public final class LoadBound {
    private LoadBound() {}

    /**
     * Returns whether a request may be admitted.
     *
     * @param runningWork what the server carries now
     * @param addedWork what the request would add
     * @param meanWork the mean over the service's servers, as last heard
     * @param factor the set multiple, at least 1
     * @param capacityFloor the least bound
     */
    public static boolean admits(
            double runningWork,
            double addedWork,
            double meanWork,
            double factor,
            double capacityFloor) {
        if (runningWork <= 0) {
            return true;
        }
        return runningWork + addedWork <= bound(meanWork, factor, capacityFloor);
    }

    /** Returns the most work that a server may carry, but for one request larger than that. */
    public static double bound(double meanWork, double factor, double capacityFloor) {
        return Math.max(factor * meanWork, capacityFloor);
    }
}
