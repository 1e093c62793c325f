package org.laurelweir.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which backend servers of a service fail, as a router sees it. An ejection is a hint:
 * the server is tried last. After its cooldown the server is tried again, and a single failure then
 * ejects it for twice as long; a success clears its record.
 *
 * <p>At most a share of the servers is ejected at once. If most fail, the fault lies between them
 * and this router, or in the requests; passing all of them over would pile the load on the last.
 */
public final class Outliers {
    private final OutlierConfig mConfig;
    private final Map<String, Health> mHealth = new HashMap<>();

    /** Creates an empty record. */
    public Outliers(OutlierConfig config) {
        mConfig = config;
    }

    /** Notes that a backend server answered. */
    public void onSuccess(String id) {
        mHealth.remove(id);
    }

    /**
     * Notes that a backend server refused, broke off or stayed silent.
     *
     * @param id its name
     * @param servers how many backend servers the service has
     * @param now when the failure was seen
     * @return whether this failure ejected it
     */
    public boolean onFailure(String id, int servers, Instant now) {
        Health h = mHealth.computeIfAbsent(id, i -> new Health());
        if (h.isEjected(now)) {
            return false;
        }
        h.mFailures++;
        if (h.mFailures < mConfig.failures() || ejectedCount(now) >= maxEjected(servers)) {
            return false;
        }
        h.mCooldown = h.mCooldown == null ? mConfig.cooldown() : nextCooldown(h.mCooldown);
        h.mEjectedUntil = now.plus(h.mCooldown);
        return true;
    }

    /** Forgets a backend server that left. */
    public void onLeave(String id) {
        mHealth.remove(id);
    }

    /** Returns whether a backend server has failed since it last answered. */
    public boolean hasFailed(String id) {
        return mHealth.containsKey(id);
    }

    /** Returns whether a backend server is passed over now. */
    public boolean isEjected(String id, Instant now) {
        Health h = mHealth.get(id);
        return h != null && h.isEjected(now);
    }

    /** Returns how many backend servers are passed over now. */
    public int ejectedCount(Instant now) {
        return (int) mHealth.values().stream().filter(h -> h.isEjected(now)).count();
    }

    /** A service of two or more may always have one ejected, and never all. */
    private int maxEjected(int servers) {
        int share = Math.max(1, (int) (servers * mConfig.maxShare()));
        return Math.min(servers - 1, share);
    }

    private Duration nextCooldown(Duration cooldown) {
        Duration doubled = cooldown.multipliedBy(2);
        return doubled.compareTo(mConfig.maxCooldown()) > 0 ? mConfig.maxCooldown() : doubled;
    }

    /** One backend server's record since its last success. */
    private static final class Health {
        private int mFailures;
        private Duration mCooldown;
        private Instant mEjectedUntil = Instant.MIN;

        boolean isEjected(Instant now) {
            return now.isBefore(mEjectedUntil);
        }
    }
}
