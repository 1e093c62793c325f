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
final class DepartedBackends {
    private final Map<String, DepartedBackend> mDeparted = new LinkedHashMap<>();

    /** Notes one that has left. */
    void add(Instant now, Backend b) {
        // The map is in the order of its entries' times, as it is forgotten from its beginning.
        mDeparted.remove(b.ref().id());
        mDeparted.put(b.ref().id(), new DepartedBackend(b, now));
    }

    /** Returns one that has left, as it was announced, or null. */
    Backend get(String id) {
        DepartedBackend d = mDeparted.get(id);
        return d == null ? null : d.backend();
    }

    /** Notes that one is back. */
    void remove(String id) {
        mDeparted.remove(id);
    }

    /** Forgets those that left long ago. */
    void expire(Instant now) {
        Iterator<DepartedBackend> oldest = mDeparted.values().iterator();
        while (oldest.hasNext()
                && oldest.next()
                        .departedAt()
                        .plus(MembershipConfig.DEFAULT_DEPARTED_RETENTION)
                        .isBefore(now)) {
            oldest.remove();
        }
    }

    private record DepartedBackend(Backend backend, Instant departedAt) {}
}
