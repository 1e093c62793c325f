package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Decides how long a backend server that disappears repeatedly is held back before it is announced
 * again. Without this, each restart of a backend server in a crash loop would move chats to it and
 * away again seconds later, and the chats would lose the caches that they have on other backend
 * servers.
 */
final class FlapDamper {
    private static final int MAX_DEPARTURES_PER_BACKEND = 64;

    private final MembershipConfig mConfig;
    private final Map<String, ArrayDeque<Instant>> mDepartures = new HashMap<>();

    FlapDamper(MembershipConfig config) {
        mConfig = config;
    }

    /** Records that a backend server disappeared without draining. */
    void recordDeparture(Instant now, String id) {
        ArrayDeque<Instant> times = mDepartures.computeIfAbsent(id, i -> new ArrayDeque<>());
        times.add(now);
        if (times.size() > MAX_DEPARTURES_PER_BACKEND) {
            times.poll();
        }
    }

    /**
     * Returns how long a backend server that joins now is held back; zero if it did not flap. The
     * duration doubles with each departure beyond the allowed number, up to a maximum.
     */
    Duration holdDuration(Instant now, String id) {
        int excess = countRecent(now, id) - mConfig.flapsAllowed();
        Duration hold = excess <= 0 ? Duration.ZERO : mConfig.holdBase();
        for (int i = 1; i < excess && hold.compareTo(mConfig.holdMax()) < 0; i++) {
            hold = hold.multipliedBy(2);
        }
        return hold.compareTo(mConfig.holdMax()) < 0 ? hold : mConfig.holdMax();
    }

    /** Returns how many of a service's backend servers may be held back at a time. */
    int maxHeld(int backendsOfService) {
        return (int) (backendsOfService * mConfig.maxHeldShare());
    }

    /** Removes the departures that are older than the flap window. */
    void evictExpired(Instant now) {
        Instant earliest = now.minus(mConfig.flapWindow());
        Iterator<ArrayDeque<Instant>> iterator = mDepartures.values().iterator();
        while (iterator.hasNext()) {
            ArrayDeque<Instant> times = iterator.next();
            dropBefore(times, earliest);
            if (times.isEmpty()) {
                iterator.remove();
            }
        }
    }

    private int countRecent(Instant now, String id) {
        ArrayDeque<Instant> times = mDepartures.get(id);
        if (times == null) {
            return 0;
        }
        dropBefore(times, now.minus(mConfig.flapWindow()));
        return times.size();
    }

    private static void dropBefore(ArrayDeque<Instant> times, Instant earliest) {
        while (!times.isEmpty() && times.peek().isBefore(earliest)) {
            times.poll();
        }
    }
}
