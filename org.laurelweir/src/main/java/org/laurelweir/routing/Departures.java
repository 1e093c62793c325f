package org.laurelweir.routing;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipConfig;

/**
 * The backend servers that left lately, or drained when they were last named. A router that goes on
 * to a control instance which was cut off when one left is told that it serves; without this it
 * would be sent requests again.
 */
final class Departures {
    private final Map<String, Departure> mLeft = new LinkedHashMap<>();

    /** Notes one that has left. */
    void add(Instant now, Backend b) {
        // The map is in the order of its entries' times, as it is forgotten from its beginning.
        mLeft.remove(b.ref().id());
        mLeft.put(b.ref().id(), new Departure(b, now));
    }

    /** Returns one that has left, as it was announced, or null. */
    Backend get(String id) {
        Departure d = mLeft.get(id);
        return d == null ? null : d.backend();
    }

    /** Notes that one is back. */
    void remove(String id) {
        mLeft.remove(id);
    }

    /** Forgets those that left long ago. */
    void forget(Instant now) {
        Iterator<Departure> oldest = mLeft.values().iterator();
        while (oldest.hasNext()
                && oldest.next()
                        .at()
                        .plus(MembershipConfig.DEFAULT_DEPARTED_RETENTION)
                        .isBefore(now)) {
            oldest.remove();
        }
    }

    private record Departure(Backend backend, Instant at) {}
}
