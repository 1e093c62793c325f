package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Routers by name, as heard here or told by peers, for operators and account limits. */
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
            RouterInstanceStatus known = mAll.get(r.report().name());
            if (known == null || r.lastExchange().isAfter(known.lastExchange())) {
                mAll.put(r.report().name(), r);
            }
        }
    }

    List<RouterInstanceStatus> local() {
        return new ArrayList<>(mLocal.values());
    }

    /** Returns how many routers serve. One that left without a word counts for a minute more. */
    int count() {
        return mAll.size();
    }

    List<RouterInstanceStatus> all() {
        return new ArrayList<>(mAll.values());
    }

    void expire(Instant now) {
        Instant latest = now.minus(RETENTION);
        mLocal.values().removeIf(r -> r.lastExchange().isBefore(latest));
        mAll.values().removeIf(r -> r.lastExchange().isBefore(latest));
    }
}
