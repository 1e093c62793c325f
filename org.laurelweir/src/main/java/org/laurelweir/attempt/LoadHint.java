package org.laurelweir.attempt;

/**
 * What a sidecar tells about its load with every frame.
 *
 * @param runningWork work running beside the sidecar, in token units
 * @param meanWork mean over the service's backend servers, as the sidecar last heard it
 * @param draining whether it takes no new work
 */
public record LoadHint(double runningWork, double meanWork, boolean draining) {
    /** No load is known. */
    public static final LoadHint UNKNOWN = new LoadHint(0, 0, false);
}
