package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Holds back load reports, so that a reader sees the load of a set time ago. */
final class LoadReports {
    private final Duration mLag;
    private final Deque<LoadReport> mReports = new ArrayDeque<>();

    LoadReports(Duration lag, LoadReport first) {
        mLag = lag;
        mReports.add(first);
    }

    /** Takes the load of now. */
    void add(LoadReport report) {
        mReports.add(report);
        dropBefore(report.measuredAt() - mLag.toMillis());
    }

    /** Returns the newest report that is at least the lag old; the oldest if there is none. */
    LoadReport read(Instant now) {
        dropBefore(now.toEpochMilli() - mLag.toMillis());
        return mReports.getFirst();
    }

    /** Drops what is older than the newest report of this time or before. */
    private void dropBefore(long millis) {
        LoadReport last = mReports.pollFirst();
        while (!mReports.isEmpty() && mReports.getFirst().measuredAt() <= millis) {
            last = mReports.pollFirst();
        }
        mReports.addFirst(last);
    }
}
