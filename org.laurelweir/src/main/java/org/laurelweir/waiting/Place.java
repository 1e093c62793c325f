package org.laurelweir.waiting;

import java.time.Instant;

/**
 * The place that a refused caller keeps if it returns as told.
 *
 * @param firstArrival when the request arrived first
 * @param tag the virtual time of its service then
 */
public record Place(Instant firstArrival, double tag) {
    /** No earlier place: the request arrives for the first time, or returned too early. */
    public static final Place NONE = new Place(Instant.MAX, Double.MAX_VALUE);
}
