package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.SlowStartPermit;

/**
 * Limits the requests that this router sends to backend servers in slow start. Too many requests
 * would crash such a server. Without a current permit of control, it gets none.
 */
public final class SlowStartLimiter {
    /**
     * How long a permit lasts without being confirmed. By then control may have given it to another
     * router, as it does when it no longer hears this one.
     */
    static final Duration PERMIT_LIFETIME = Duration.ofMillis(1_500);

    private static final double MILLIS_PER_SECOND = 1000;

    private Map<BackendRef, Allowance> mAllowances = new HashMap<>();
    private Instant mPermitsExpire = Instant.MIN;

    /** Applies the permits of control, which replace the earlier ones. */
    public void onPermits(Instant now, List<SlowStartPermit> permits) {
        mPermitsExpire = now.plus(PERMIT_LIFETIME);
        if (permits.isEmpty() && mAllowances.isEmpty()) {
            return;
        }
        Map<BackendRef, Allowance> next = new HashMap<>();
        for (SlowStartPermit p : permits) {
            Allowance a = mAllowances.getOrDefault(p.server(), new Allowance(now));
            a.setRate(now, p.requestsPerSecond());
            next.put(p.server(), a);
        }
        mAllowances = next;
    }

    /** Returns whether a server in slow start may get a request of this router now. */
    boolean permits(Instant now, BackendRef server) {
        Allowance a = mAllowances.get(server);
        return a != null && now.isBefore(mPermitsExpire) && a.available(now) >= 1;
    }

    /** Records that this router sends a request to a server, in slow start or not. */
    void onRequestSent(Instant now, BackendRef server) {
        Allowance a = mAllowances.get(server);
        if (a != null) {
            a.take(now);
        }
    }

    /**
     * The requests that may be sent to one server, at most one at once. It starts empty, because
     * another router may just have used the same share of the rate.
     */
    private static final class Allowance {
        private double mAvailable;
        private double mRate;
        private Instant mUpdatedAt;

        Allowance(Instant now) {
            mUpdatedAt = now;
        }

        void setRate(Instant now, double rate) {
            mAvailable = available(now);
            mUpdatedAt = now;
            mRate = rate;
        }

        double available(Instant now) {
            double millis = Duration.between(mUpdatedAt, now).toMillis();
            return Math.min(1, mAvailable + mRate * millis / MILLIS_PER_SECOND);
        }

        void take(Instant now) {
            mAvailable = Math.max(0, available(now) - 1);
            mUpdatedAt = now;
        }
    }
}
