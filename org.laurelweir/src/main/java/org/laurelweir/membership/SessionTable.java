package org.laurelweir.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sidecars that one control instance hears itself, the one heard longest ago first, so that
 * looking for silent ones costs what is found and not the whole table.
 */
final class SessionTable {
    private final Duration mVanishAfter;
    private final LoadSums mSums = new LoadSums();
    private final Map<String, Session> mSessions = new LinkedHashMap<>();
    private final PauseTolerantClock mTime;

    SessionTable(PauseTolerantClock time, Duration vanishAfter) {
        mTime = time;
        mVanishAfter = vanishAfter;
    }

    /** Returns what a sidecar reported last, or null if it is not heard here. */
    SidecarReport get(String id) {
        Session s = mSessions.get(id);
        return s == null ? null : s.report();
    }

    /** Returns whether this very run and session of a sidecar is heard here. */
    boolean hears(Backend b) {
        SidecarReport r = get(b.ref().id());
        return r != null && r.backend().isSameSession(b);
    }

    int size() {
        return mSessions.size();
    }

    /** Returns the running work of those that take new work, per service. */
    LoadSums sums() {
        return mSums;
    }

    void put(SidecarReport report) {
        String id = report.backend().ref().id();
        remove(id);
        mSessions.put(id, new Session(report, mTime.seen()));
        mSums.add(report);
    }

    void remove(String id) {
        Session s = mSessions.remove(id);
        if (s != null) {
            mSums.subtract(s.report());
        }
    }

    /** Removes those silent for too long. */
    List<Backend> removeSilent() {
        List<Backend> silent = new ArrayList<>();
        Duration latest = mTime.seen().minus(mVanishAfter);
        Iterator<Session> oldest = mSessions.values().iterator();
        while (oldest.hasNext()) {
            Session s = oldest.next();
            if (s.heard().compareTo(latest) >= 0) {
                break;
            }
            oldest.remove();
            mSums.subtract(s.report());
            silent.add(s.report().backend());
        }
        return silent;
    }

    private record Session(SidecarReport report, Duration heard) {}
}
