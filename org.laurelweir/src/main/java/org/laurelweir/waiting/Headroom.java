package org.laurelweir.waiting;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The share of a service's memory that less urgent requests leave free after more urgent ones had
 * to wait. It grows with the requests that have to wait, and is given back when none does.
 */
public final class Headroom {
    /** Maximum share of memory that is left free. */
    static final double MAX_SHARE = 0.2;

    /** Growth with each request that has to wait. */
    private static final double GROWTH = 0.05;

    /** The share is halved in this time, and given back in twice this time. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(1);

    private static final int HALF_LIVES = 2;

    private final Map<String, Map<Integer, Share>> mShares = new HashMap<>();

    /** A share and the time since which no request had to wait. */
    private record Share(double value, Instant since) {
        double at(Instant now) {
            double halfLives =
                    Duration.between(since, now).toMillis() / (double) HALF_LIFE.toMillis();
            return halfLives >= HALF_LIVES ? 0 : value * Math.pow(2, -Math.max(0, halfLives));
        }
    }

    /** Records that a request begins to wait. */
    public void onWaiting(Instant now, String service, int priority) {
        update(now, service, priority, GROWTH);
    }

    /** Records that a request still waits, so that the share is not given back yet. */
    public void onStillWaiting(Instant now, String service, int priority) {
        update(now, service, priority, 0);
    }

    private void update(Instant now, String service, int priority, double growth) {
        Map<Integer, Share> shares = mShares.computeIfAbsent(service, s -> new HashMap<>());
        Share old = shares.get(priority);
        double value = old == null ? 0 : old.at(now);
        shares.put(priority, new Share(Math.min(MAX_SHARE, value + growth), now));
    }

    /** Returns the share of memory that requests of a priority have to leave free. */
    public double share(Instant now, String service, int priority) {
        double share = 0;
        for (Map.Entry<Integer, Share> e : mShares.getOrDefault(service, Map.of()).entrySet()) {
            if (e.getKey() > priority) {
                share = Math.max(share, e.getValue().at(now));
            }
        }
        return share;
    }

    /**
     * Returns whether a request of a priority may be admitted.
     *
     * @param tokens mean tokens that each server of the service holds
     * @param memoryTokens tokens that each server's memory holds, or 0 if it has none
     */
    public boolean admits(
            Instant now, String service, int priority, double tokens, long memoryTokens) {
        double share = share(now, service, priority);
        return memoryTokens <= 0 || share <= 0 || tokens < (1 - share) * memoryTokens;
    }
}
