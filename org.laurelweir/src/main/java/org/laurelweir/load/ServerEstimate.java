package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;

/** What a router knows of one backend server's load. */
final class ServerEstimate {
    /** How long a load counts after it was told; requests come and go several times in this. */
    static final Duration MAX_AGE = Duration.ofSeconds(3);

    /**
     * How long the backend server's own word goes before the sum over all routers, in which what
     * the others sent lately is not yet, and what they gave up is not any more.
     */
    static final Duration SERVER_REPORT_PRECEDENCE = Duration.ofMillis(400);

    /** This router's requests that the backend server has. */
    private int mOwnRequests;

    /** As many as were told with the last report. */
    private int mOwnReported;

    /** As many as control has taken. */
    private int mOwnAcknowledged;

    private Instant mLoadTime = Instant.MIN;
    private Instant mServerReportTime = Instant.MIN;
    private double mLoad;

    /** Of the requests that were told, those of this router. */
    private int mOwnInLoad;

    static boolean isRecent(Instant now, Instant toldAt) {
        return toldAt != Instant.MIN && now.isBefore(toldAt.plus(MAX_AGE));
    }

    void onRequestSent() {
        mOwnRequests++;
    }

    void onRequestEnded() {
        mOwnRequests = Math.max(0, mOwnRequests - 1);
    }

    int ownRequests() {
        return mOwnRequests;
    }

    /**
     * Notes that a report is made.
     *
     * @param whole whether control is told all that this router has
     * @return whether control has to be told what it has here
     */
    boolean report(boolean whole) {
        mOwnReported = mOwnRequests;
        return whole ? mOwnRequests != 0 : mOwnRequests != mOwnAcknowledged;
    }

    /** Control has taken the last report. */
    void onReportAcknowledged() {
        mOwnAcknowledged = mOwnReported;
    }

    /** Takes what the backend server tells itself. */
    void onReportedLoad(Instant now, int requests) {
        mServerReportTime = now;
        mLoadTime = now;
        mLoad = requests;
        mOwnInLoad = mOwnRequests;
    }

    /**
     * Takes what control answers to a report.
     *
     * @param reportedAt when the report was made, which is in the answer
     */
    void onDigestLoad(Instant reportedAt, double requests) {
        if (serverReportPrevails(reportedAt)) {
            return;
        }
        mLoadTime = reportedAt;
        mLoad = requests;
        mOwnInLoad = mOwnReported;
    }

    /**
     * Takes that control does not name the backend server in its answer to a report: it has no more
     * than the mean.
     */
    void onNotListed(Instant reportedAt, double mean) {
        if (mLoad > mean && !serverReportPrevails(reportedAt)) {
            mLoadTime = Instant.MIN;
        }
    }

    private boolean serverReportPrevails(Instant reportedAt) {
        return mServerReportTime != Instant.MIN
                && reportedAt.isBefore(mServerReportTime.plus(SERVER_REPORT_PRECEDENCE));
    }

    /**
     * Returns the load that is believed. What was told fades into the mean as it gets older.
     *
     * @param mean of the service, NaN where it is not known
     */
    double estimate(Instant now, double mean) {
        double rest =
                Double.isNaN(mean)
                        ? mOwnRequests
                        : Math.max(mOwnRequests, mean + sentSinceReport());
        if (!isRecent(now, mLoadTime)) {
            return rest;
        }
        double told = Math.max(mOwnRequests, mLoad - mOwnInLoad + mOwnRequests);
        double faded = Double.isNaN(mean) ? 0 : ageMillis(now) / MAX_AGE.toMillis();
        return told + (rest - told) * faded;
    }

    private int sentSinceReport() {
        return Math.max(0, mOwnRequests - mOwnReported);
    }

    /** Returns how long ago the load was told, in milliseconds; NaN where that counts no more. */
    double ageMillis(Instant now) {
        if (!isRecent(now, mLoadTime)) {
            return Double.NaN;
        }
        // The clock may have been set back.
        return Math.max(0, Duration.between(mLoadTime, now).toMillis());
    }

    /** Returns whether nothing is left to know. */
    boolean isUnused(Instant now) {
        return mOwnRequests == 0 && mOwnAcknowledged == 0 && !isRecent(now, mLoadTime);
    }
}
