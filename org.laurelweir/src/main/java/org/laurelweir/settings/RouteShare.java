package org.laurelweir.settings;

/**
 * The share of a route's requests that one service receives.
 *
 * @param service the service's name
 * @param weight the share, relative to the weights of the route's other services
 */
public record RouteShare(String service, double weight) {
    /** Rejects an empty service name, and a weight that is negative or not finite. */
    public RouteShare {
        if (service.isEmpty() || !Double.isFinite(weight) || weight < 0) {
            throw new IllegalArgumentException(service + ":" + weight);
        }
    }

    static RouteShare parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(text);
        }
        return new RouteShare(
                text.substring(0, colon), Double.parseDouble(text.substring(colon + 1)));
    }

    /** Returns the share as written in settings. */
    @Override
    public String toString() {
        return service + ":" + weight;
    }
}
