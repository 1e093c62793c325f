package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Decides how long a backend server that keeps vanishing is held back before it is announced again.
 * Each return of one that crashes in a loop would move chats to it and, seconds later, off again;
 * their caches elsewhere would be lost for nothing.
 */
final class FlapDamper {
    private static final int MAX_REMEMBERED = 64;

    private final MembershipConfig mConfig;
    private final Map<String, ArrayDeque<Instant>> mDepartures = new HashMap<>();

    FlapDamper(MembershipConfig config) {
        mConfig = config;
    }

    /** Notes that a backend server went without having drained. */
    void vanished(Instant now, String id) {
        ArrayDeque<Instant> times = mDepartures.computeIfAbsent(id, i -> new ArrayDeque<>());
        times.add(now);
        if (times.size() > MAX_REMEMBERED) {
            times.poll();
        }
    }

    /** Returns how long one that comes now is held back; zero for one that did not flap. */
    Duration holdTime(Instant now, String id) {
        int over = countRecent(now, id) - mConfig.flapsAllowed();
        Duration hold = over <= 0 ? Duration.ZERO : mConfig.holdBase();
        for (int i = 1; i < over && hold.compareTo(mConfig.holdMax()) < 0; i++) {
            hold = hold.multipliedBy(2);
        }
        return hold.compareTo(mConfig.holdMax()) < 0 ? hold : mConfig.holdMax();
    }

    /** Returns how many of a service's backend servers may be held back at a time. */
    int holdLimit(int backendsOfService) {
        return (int) (backendsOfService * mConfig.heldShare());
    }

    /** Forgets departures that no longer count. */
    void forget(Instant now) {
        Instant earliest = now.minus(mConfig.flapWindow());
        Iterator<ArrayDeque<Instant>> each = mDepartures.values().iterator();
        while (each.hasNext()) {
            ArrayDeque<Instant> times = each.next();
            dropBefore(times, earliest);
            if (times.isEmpty()) {
                each.remove();
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
