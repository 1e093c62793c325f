package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Holds back flapping backend servers, so that not every restart of one is announced. */
final class FlapGuard {
    private final FlapDamper mDamper;
    private final DelayedBackends mHeld;
    private final ServiceCounts mCounts = new ServiceCounts();

    FlapGuard(PauseTolerantClock clock, MembershipConfig config) {
        mDamper = new FlapDamper(config);
        mHeld = new DelayedBackends(clock, config.vanishAfter());
    }

    /** Updates the number of a service's backend servers; only a share of them may be held back. */
    void updateCounts(Backend before, Backend after) {
        mCounts.update(before, after);
    }

    void recordDeparture(Instant now, String id) {
        mDamper.recordDeparture(now, id);
    }

    /**
     * Updates a held backend server with a new report.
     *
     * @return whether it is still held; false for one that was not held or that is leaving
     */
    boolean refresh(SidecarReport report) {
        return mHeld.refresh(report);
    }

    /**
     * Holds a backend server back if it flaps. One that is leaving is never held, as its departure
     * has to reach every control instance.
     *
     * @return how long it is held, or zero
     */
    Duration hold(Instant now, SidecarReport report) {
        Backend b = report.backend();
        if (b.state() != Backend.State.SERVING) {
            return Duration.ZERO;
        }
        Duration duration = mDamper.holdDuration(now, b.ref().id());
        int limit = mDamper.maxHeld(mCounts.presentCount(b.service()));
        if (duration.isZero() || mHeld.count(b.service()) >= limit) {
            return Duration.ZERO;
        }
        mHeld.hold(report, duration);
        return duration;
    }

    /** Removes and returns the reports of the backend servers whose hold has ended. */
    List<SidecarReport> release() {
        return mHeld.release();
    }

    void remove(String id) {
        mHeld.remove(id);
    }

    void evictExpired(Instant now) {
        mDamper.evictExpired(now);
    }
}
