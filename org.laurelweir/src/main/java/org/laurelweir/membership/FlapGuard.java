package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Keeps backend servers that vanish too often from being announced at each return. */
final class FlapGuard {
    private final FlapDamper mDamper;
    private final HeldBackends mHeld;
    private final ServiceCounts mCounts = new ServiceCounts();

    FlapGuard(PauseTolerantClock time, MembershipConfig config) {
        mDamper = new FlapDamper(config);
        mHeld = new HeldBackends(time, config.vanishAfter());
    }

    /** Keeps count of a service's backend servers, of which only a share may be held back. */
    void changed(Backend before, Backend after) {
        mCounts.changed(before, after);
    }

    void vanished(Instant now, String id) {
        mDamper.vanished(now, id);
    }

    /** Notes that a held one was heard; returns whether it is held. One that leaves is not. */
    boolean refresh(SidecarReport report) {
        return mHeld.refresh(report);
    }

    /**
     * Holds one that comes back, if it has to be; returns for how long, or zero. One that leaves is
     * never held: its word has to reach everyone.
     */
    Duration hold(Instant now, SidecarReport report) {
        Backend b = report.backend();
        if (b.state() != Backend.State.SERVING) {
            return Duration.ZERO;
        }
        Duration time = mDamper.holdTime(now, b.ref().id());
        int limit = mDamper.holdLimit(mCounts.present(b.service()));
        if (time.isZero() || mHeld.count(b.service()) >= limit) {
            return Duration.ZERO;
        }
        mHeld.hold(report, time);
        return time;
    }

    /** Removes and returns those held long enough. */
    List<SidecarReport> release() {
        return mHeld.release();
    }

    void remove(String id) {
        mHeld.remove(id);
    }

    void forget(Instant now) {
        mDamper.forget(now);
    }
}
