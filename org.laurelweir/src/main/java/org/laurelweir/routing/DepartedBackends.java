package org.laurelweir.routing;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipConfig;

/**
 * The backend servers that left recently, or that were draining when control stopped naming them. A
 * control instance that was cut off when a backend server left still reports it as serving. Without
 * this record, a router that switches to that instance would send the backend server requests
 * again.
 */
final class DepartedBackends {
    private final Map<String, DepartedBackend> mDeparted = new LinkedHashMap<>();

    /** Adds a backend server that has left. */
    void add(Instant now, Backend b) {
        // The map has to keep the order of departure: expire() removes from its beginning.
        mDeparted.remove(b.ref().id());
        mDeparted.put(b.ref().id(), new DepartedBackend(b, now));
    }

    /** Returns a departed backend server as control last announced it, or null. */
    Backend get(String id) {
        DepartedBackend d = mDeparted.get(id);
        return d == null ? null : d.backend();
    }

    /** Removes a backend server that has returned. */
    void remove(String id) {
        mDeparted.remove(id);
    }

    /** Removes backend servers whose departure is older than the retention time. */
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
