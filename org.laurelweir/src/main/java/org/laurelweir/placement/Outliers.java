package org.laurelweir.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Records which backend servers of a service fail, as a router sees it. An ejection is a hint: the
 * server is tried last. After its cooldown the server is tried again. A single failure then ejects
 * it for twice as long; a success clears its record.
 *
 * <p>At most a share of the servers is ejected at once. If most servers fail, the fault is probably
 * between them and this router, or in the requests. Ejecting them all would move the whole load to
 * the last one.
 */
public final class Outliers {
    private final OutlierConfig mConfig;
    private final Map<String, Health> mHealth = new HashMap<>();

    /** Creates a record without failures. */
    public Outliers(OutlierConfig config) {
        mConfig = config;
    }

    /** Clears the record of a backend server that answered. */
    public void onSuccess(String id) {
        mHealth.remove(id);
    }

    /**
     * Counts a failure of a backend server: it refused, broke off or stayed silent.
     *
     * @param id its name
     * @param servers the number of backend servers of the service
     * @param now when the failure was seen
     * @return whether this failure ejected it
     */
    public boolean onFailure(String id, int servers, Instant now) {
        Health health = mHealth.computeIfAbsent(id, i -> new Health());
        if (health.isEjected(now)) {
            return false;
        }
        health.mFailures++;
        if (health.mFailures < mConfig.failures() || ejectedCount(now) >= maxEjected(servers)) {
            return false;
        }
        health.mCooldown =
                health.mCooldown == null ? mConfig.cooldown() : nextCooldown(health.mCooldown);
        health.mEjectedUntil = now.plus(health.mCooldown);
        return true;
    }

    /** Removes the record of a backend server that left. */
    public void onLeave(String id) {
        mHealth.remove(id);
    }

    /** Returns whether a backend server has failed since it last answered. */
    public boolean hasFailed(String id) {
        return mHealth.containsKey(id);
    }

    /** Returns whether a backend server is ejected at a given time. */
    public boolean isEjected(String id, Instant now) {
        Health health = mHealth.get(id);
        return health != null && health.isEjected(now);
    }

    /** Returns the number of backend servers that are ejected at a given time. */
    public int ejectedCount(Instant now) {
        return (int) mHealth.values().stream().filter(health -> health.isEjected(now)).count();
    }

    /**
     * Returns the maximum number of ejected servers: at least one for a service of two or more, and
     * never all of them.
     */
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
