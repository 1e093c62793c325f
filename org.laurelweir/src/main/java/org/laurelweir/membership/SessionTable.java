package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sidecars that report to this control instance, the least recent report first, so that the
 * search for timed-out sidecars reads only those and not the whole table.
 */
final class SessionTable {
    private final Duration mDepartureTimeout;
    private final LoadSums mSums = new LoadSums();
    private final Map<String, Session> mSessions = new LinkedHashMap<>();
    private final PauseTolerantClock mClock;

    SessionTable(PauseTolerantClock clock, Duration vanishAfter) {
        mClock = clock;
        mDepartureTimeout = vanishAfter;
    }

    /** Returns a sidecar's last report, or null if it does not report to this instance. */
    SidecarReport get(String id) {
        Session s = mSessions.get(id);
        return s == null ? null : s.report();
    }

    /** Returns whether this incarnation and session of a sidecar reports to this instance. */
    boolean hasSession(Backend b) {
        SidecarReport r = get(b.ref().id());
        return r != null && r.backend().isSameSession(b);
    }

    int size() {
        return mSessions.size();
    }

    /** Returns the running work of the serving backend servers, per service. */
    LoadSums sums() {
        return mSums;
    }

    void put(SidecarReport report) {
        String id = report.backend().ref().id();
        remove(id);
        mSessions.put(id, new Session(report, mClock.elapsed()));
        mSums.add(report);
    }

    void remove(String id) {
        Session s = mSessions.remove(id);
        if (s != null) {
            mSums.subtract(s.report());
        }
    }

    /** Removes and returns the backend servers whose sidecars have timed out. */
    List<Backend> removeTimedOut() {
        List<Backend> timedOut = new ArrayList<>();
        Duration earliestAllowed = mClock.elapsed().minus(mDepartureTimeout);
        Iterator<Session> oldest = mSessions.values().iterator();
        while (oldest.hasNext()) {
            Session s = oldest.next();
            if (s.lastReportTime().compareTo(earliestAllowed) >= 0) {
                break;
            }
            oldest.remove();
            mSums.subtract(s.report());
            timedOut.add(s.report().backend());
        }
        return timedOut;
    }

    private record Session(SidecarReport report, Duration lastReportTime) {}
}
