package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Backend servers that send reports but are not announced yet because they flapped. */
final class DelayedBackends {
    private final PauseTolerantClock mClock;
    private final Duration mDepartureTimeout;
    private final Map<String, Held> mHeld = new LinkedHashMap<>();

    DelayedBackends(PauseTolerantClock clock, Duration vanishAfter) {
        mClock = clock;
        mDepartureTimeout = vanishAfter;
    }

    /**
     * Updates a held backend server with a new report.
     *
     * @return whether it is still held; false for one that was not held or that is leaving
     */
    boolean refresh(SidecarReport report) {
        Held h = mHeld.get(report.backend().ref().id());
        if (h == null || !report.backend().ref().equals(h.report().backend().ref())) {
            return false;
        }
        if (report.backend().state() != Backend.State.SERVING) {
            mHeld.remove(report.backend().ref().id());
            return false;
        }
        mHeld.put(report.backend().ref().id(), new Held(report, h.releaseTime(), mClock.elapsed()));
        return true;
    }

    void hold(SidecarReport report, Duration duration) {
        Duration now = mClock.elapsed();
        mHeld.put(report.backend().ref().id(), new Held(report, now.plus(duration), now));
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

    /**
     * Removes and returns the reports of the backend servers whose hold has ended. Also removes
     * those that stopped sending reports.
     */
    List<SidecarReport> release() {
        List<SidecarReport> released = new ArrayList<>();
        Duration now = mClock.elapsed();
        Iterator<Held> iterator = mHeld.values().iterator();
        while (iterator.hasNext()) {
            Held h = iterator.next();
            if (h.lastReportTime().plus(mDepartureTimeout).compareTo(now) < 0) {
                iterator.remove();
            } else if (h.releaseTime().compareTo(now) <= 0) {
                iterator.remove();
                released.add(h.report());
            }
        }
        return released;
    }

    private record Held(SidecarReport report, Duration releaseTime, Duration lastReportTime) {}
}
