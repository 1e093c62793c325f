package org.laurelweir.waiting;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers when refused callers were told to return. One that returns as told keeps the place of
 * its first arrival; one that returns earlier gains nothing.
 *
 * @param <K> the type of the keys by which returning requests are recognised
 */
public final class ReturnTable<K> {
    /** How late a caller may return and keep its place. */
    private static final Duration MAX_LATENESS = Duration.ofSeconds(2);

    private final int mCapacity;
    private final Map<K, Told> mByKey = new LinkedHashMap<>();

    /** When a caller was told to return, and the place that it then has. */
    private record Told(String service, int priority, Instant returnTime, Place place) {}

    /**
     * Creates an empty table.
     *
     * @param capacity maximum number of entries; the oldest one is dropped first
     */
    public ReturnTable(int capacity) {
        mCapacity = capacity;
    }

    /** Records when a refused caller was told to return, and the place that it then keeps. */
    public void onRefused(
            Instant now, K key, String service, int priority, Instant returnTime, Place place) {
        dropExpired(now);
        mByKey.remove(key);
        mByKey.put(key, new Told(service, priority, returnTime, place));
        if (mByKey.size() > mCapacity) {
            Iterator<K> oldest = mByKey.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Removes and returns the place of a request that arrives; {@link Place#NONE} unless it returns
     * as told.
     */
    public Place takePlace(Instant now, K key) {
        Told told = mByKey.remove(key);
        boolean asTold =
                told != null
                        && !now.isBefore(told.returnTime())
                        && now.isBefore(told.returnTime().plus(MAX_LATENESS));
        return asTold ? told.place() : Place.NONE;
    }

    /**
     * Returns the number of requests of at least a priority whose time to return to a service is
     * still to come. They get capacity before a request that is refused now.
     */
    public int countReturning(Instant now, String service, int priority) {
        int count = 0;
        for (Told t : mByKey.values()) {
            boolean isAwaited = now.isBefore(t.returnTime());
            if (isAwaited && t.priority() >= priority && t.service().equals(service)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of entries. */
    public int size() {
        return mByKey.size();
    }

    /** Drops the oldest entries whose time has passed, at most two so that the cost is bounded. */
    private void dropExpired(Instant now) {
        Iterator<Told> told = mByKey.values().iterator();
        for (int i = 0; i < 2 && told.hasNext(); i++) {
            if (!now.isBefore(told.next().returnTime().plus(MAX_LATENESS))) {
                told.remove();
            }
        }
    }
}
