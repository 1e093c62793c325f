package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Backend servers that are heard and not announced yet, since they vanished too often. */
final class HeldBackends {
    private final PauseTolerantClock mTime;
    private final Duration mVanishAfter;
    private final Map<String, Held> mHeld = new LinkedHashMap<>();

    HeldBackends(PauseTolerantClock time, Duration vanishAfter) {
        mTime = time;
        mVanishAfter = vanishAfter;
    }

    /** Notes that a held one was heard; returns whether it is held. One that leaves is not. */
    boolean refresh(SidecarReport report) {
        Held h = mHeld.get(report.backend().ref().id());
        if (h == null || !report.backend().ref().equals(h.report().backend().ref())) {
            return false;
        }
        if (report.backend().state() != Backend.State.SERVING) {
            mHeld.remove(report.backend().ref().id());
            return false;
        }
        mHeld.put(report.backend().ref().id(), new Held(report, h.until(), mTime.seen()));
        return true;
    }

    void hold(SidecarReport report, Duration time) {
        Duration now = mTime.seen();
        mHeld.put(report.backend().ref().id(), new Held(report, now.plus(time), now));
    }

    void remove(String id) {
        mHeld.remove(id);
    }

    int count(String service) {
        int count = 0;
        for (Held h : mHeld.values()) {
            if (h.report().backend().service().equals(service)) {
                count++;
            }
        }
        return count;
    }

    /** Removes and returns those held long enough; drops those that fell silent. */
    List<SidecarReport> release() {
        List<SidecarReport> released = new ArrayList<>();
        Duration now = mTime.seen();
        Iterator<Held> each = mHeld.values().iterator();
        while (each.hasNext()) {
            Held h = each.next();
            if (h.heard().plus(mVanishAfter).compareTo(now) < 0) {
                each.remove();
            } else if (h.until().compareTo(now) <= 0) {
                each.remove();
                released.add(h.report());
            }
        }
        return released;
    }

    private record Held(SidecarReport report, Duration until, Duration heard) {}
}
