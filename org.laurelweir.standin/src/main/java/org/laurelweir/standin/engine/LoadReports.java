package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Delays load reports, so that a reader sees the load of a set time ago. */
final class LoadReports {
    private final Duration mLag;
    private final Deque<LoadReport> mReports = new ArrayDeque<>();

    LoadReports(Duration lag, LoadReport first) {
        mLag = lag;
        mReports.add(first);
    }

    /** Adds the present load. */
    void add(LoadReport report) {
        mReports.add(report);
        dropOutdated(report.measuredAt() - mLag.toMillis());
    }

    /**
     * Returns the newest report that is at least the lag old; the oldest report if there is none.
     */
    LoadReport read(Instant now) {
        dropOutdated(now.toEpochMilli() - mLag.toMillis());
        return mReports.getFirst();
    }

    /** Drops the reports before the newest one that was measured at a time or earlier. */
    private void dropOutdated(long millis) {
        LoadReport last = mReports.pollFirst();
        while (!mReports.isEmpty() && mReports.getFirst().measuredAt() <= millis) {
            last = mReports.pollFirst();
        }
        mReports.addFirst(last);
    }
}
