package org.laurelweir.demand;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;

/** The speeds of the backend servers. Only the latest incarnation of each is recorded. */
public final class ServerSpeeds {
    private final Map<String, Entry> mServers = new HashMap<>();

    private record Entry(BackendRef server, ServerSpeed speed, Seen seen) {}

    /** When the router first sent a request to an incarnation. */
    private static final class Seen {
        private Instant mSince = Instant.MAX;
    }

    /**
     * Returns the record of an incarnation to add to. That of a later incarnation replaces it; for
     * one that has been replaced, a record is returned that is not stored.
     */
    public ServerSpeed of(BackendRef server) {
        return entry(server).speed();
    }

    private Entry entry(BackendRef server) {
        Entry known = mServers.get(server.id());
        if (known != null && known.server().incarnation() > server.incarnation()) {
            return new Entry(server, new ServerSpeed(), new Seen());
        }
        if (known == null || !known.server().equals(server)) {
            known = new Entry(server, new ServerSpeed(), new Seen());
            mServers.put(server.id(), known);
        }
        return known;
    }

    /** Records that the router sends a request to a backend server. */
    public void onSeen(Instant now, BackendRef server) {
        Seen seen = entry(server).seen();
        if (seen.mSince.equals(Instant.MAX)) {
            seen.mSince = now;
        }
    }

    /** Returns whether the router sent a request to this incarnation at a time or before. */
    public boolean isKnownSince(BackendRef server, Instant time) {
        Entry known = mServers.get(server.id());
        return known != null && known.server().equals(server) && !known.seen().mSince.isAfter(time);
    }

    /** Returns the slowness of a backend server, 1 if nothing is known of this incarnation. */
    public double slowness(Instant now, BackendRef server) {
        Entry known = mServers.get(server.id());
        return known != null && known.server().equals(server) ? known.speed().slowness(now) : 1;
    }

    /** Forgets the backend servers that are no longer current. */
    public void prune(Predicate<BackendRef> isCurrent) {
        mServers.values().removeIf(e -> !isCurrent.test(e.server()));
    }

    /** Returns the number of recorded backend servers. */
    int size() {
        return mServers.size();
    }
}
