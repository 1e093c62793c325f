package org.laurelweir.placement;

/**
 * The bound on a backend server's work: a multiple of the mean work of its service. All amounts are
 * in the unit of {@link WorkEstimate#units}.
 *
 * <p>Two rules keep small loads from being rejected needlessly. First, the bound is never below a
 * floor, which one engine carries without harm: with one request running on ten engines the mean is
 * a tenth of a request, and a plain multiple of it would admit nothing. Second, an idle server
 * admits any one request: otherwise a request larger than every bound would run nowhere. So a
 * server carries at most the largest of {@code factor * mean}, the floor, and one request.
 */
public final class LoadBound {
    private LoadBound() {}

    /**
     * Returns whether a request may be admitted.
     *
     * @param runningWork the work that the server carries now
     * @param addedWork the work that the request adds
     * @param meanWork the mean work of the service's servers, as last reported
     * @param factor the multiple of the mean, at least 1
     * @param capacityFloor the minimum bound
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

    /** Returns the maximum work of a server. A single request larger than that may exceed it. */
    public static double bound(double meanWork, double factor, double capacityFloor) {
        return Math.max(factor * meanWork, capacityFloor);
    }
}
