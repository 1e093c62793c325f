package org.laurelweir.settings;

/**
 * The share of a route's requests that one service gets.
 *
 * @param service the service
 * @param weight its share, relative to the weights of the route's other services
 */
public record RouteShare(String service, double weight) {
    /** Refuses weights that are no share. */
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

    /** Returns the share as settings write it. */
    @Override
    public String toString() {
        return service + ":" + weight;
    }
}
