package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Routers by name that exchange with this instance or that peers have reported. Operators see them,
 * and routers divide the limits of client accounts by their number.
 */
final class RouterTable {
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private final Map<String, RouterInstanceStatus> mLocal = new TreeMap<>();
    private final Map<String, RouterInstanceStatus> mAll = new TreeMap<>();

    void put(RouterInstanceStatus router) {
        mLocal.put(router.report().name(), router);
        mAll.put(router.report().name(), router);
    }

    void merge(Collection<RouterInstanceStatus> routers) {
        for (RouterInstanceStatus r : routers) {
            RouterInstanceStatus existing = mAll.get(r.report().name());
            if (existing == null || r.lastExchange().isAfter(existing.lastExchange())) {
                mAll.put(r.report().name(), r);
            }
        }
    }

    List<RouterInstanceStatus> local() {
        return new ArrayList<>(mLocal.values());
    }

    /**
     * Returns the number of routers that serve. A router that stops without notice is counted for
     * another minute.
     */
    int count() {
        return mAll.size();
    }

    Collection<String> names() {
        return Collections.unmodifiableSet(mAll.keySet());
    }

    List<RouterInstanceStatus> all() {
        return new ArrayList<>(mAll.values());
    }

    void expire(Instant now) {
        Instant earliest = now.minus(RETENTION);
        mLocal.values().removeIf(r -> r.lastExchange().isBefore(earliest));
        mAll.values().removeIf(r -> r.lastExchange().isBefore(earliest));
    }
}
