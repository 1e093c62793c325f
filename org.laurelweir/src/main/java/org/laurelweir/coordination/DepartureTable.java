package org.laurelweir.coordination;

import java.time.Instant;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Departure;

/**
 * The departures of backend servers that were acknowledged lately, part of the state machine. They
 * expire by the log's time, so that every replica removes the same ones at the same entry.
 */
final class DepartureTable {
    private static final int MAX_DEPARTURES = 65_536;

    /** The departures by the name of the backend server, the earliest recorded first. */
    private final Map<String, Departure> mDepartures = new LinkedHashMap<>();

    /** Returns the last departure of a backend server, or null if none is known. */
    Departure get(String id) {
        return mDepartures.get(id);
    }

    /** Returns whether an announcement is older than an acknowledged departure. */
    boolean isOutdated(Backend b) {
        Departure d = mDepartures.get(b.ref().id());
        return d != null && d.isLaterThan(b);
    }

    /** Records a departure, unless it is known already. */
    void apply(Command.RecordDeparture c) {
        removeExpired(c.timestamp());
        String id = c.server().id();
        Departure known = mDepartures.get(id);
        if (known != null && known.covers(c.server(), c.state(), c.session())) {
            return;
        }
        mDepartures.remove(id);
        mDepartures.put(id, c.departure());
        if (mDepartures.size() > MAX_DEPARTURES) {
            removeFirst();
        }
    }

    private void removeExpired(Instant now) {
        Iterator<Departure> first = mDepartures.values().iterator();
        while (first.hasNext() && !first.next().expiry().isAfter(now)) {
            first.remove();
        }
    }

    private void removeFirst() {
        Iterator<Departure> first = mDepartures.values().iterator();
        first.next();
        first.remove();
    }

    List<Departure> all() {
        return List.copyOf(mDepartures.values());
    }

    void restore(Collection<Departure> departures) {
        mDepartures.clear();
        departures.forEach(d -> mDepartures.put(d.server().id(), d));
    }
}
