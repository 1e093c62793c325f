package org.laurelweir.placement;

/**
 * Chooses the backend servers to try for a request. A policy keeps no state that has to survive a
 * restart.
 */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Places a request.
     *
     * @param request the request
     * @param view the router's view of the service
     * @param hints what the router remembers from earlier answers
     * @return the candidates in order; none if no backend server accepts new requests
     */
    Placement place(PlacementRequest request, ServiceView view, PlacementHints hints);
}
