package org.laurelweir.attempt;

/**
 * The load that a sidecar reports with every frame.
 *
 * @param runningWork work that runs on its backend server, in token units
 * @param meanWork mean work over the service's backend servers, weighted for this server, as last
 *     received from control; 0 if unknown
 * @param draining whether the sidecar takes no new work
 */
public record LoadHint(double runningWork, double meanWork, boolean draining) {
    /** The hint for an unknown load. */
    public static final LoadHint UNKNOWN = new LoadHint(0, 0, false);
}
