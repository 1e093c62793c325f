package org.laurelweir.placement;

/** Chooses the backend servers to try for a request. Has no state that must survive. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Places a request.
     *
     * @param request the request
     * @param view what the router knows of the service
     * @param hints what it remembers from earlier answers
     * @return the candidates in order; none if no backend server takes new work
     */
    Placement place(PlacementRequest request, ServiceView view, PlacementHints hints);
}
