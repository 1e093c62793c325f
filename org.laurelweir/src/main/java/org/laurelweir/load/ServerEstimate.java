package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;

/** A router's estimate of the load of one backend server, and its own requests there. */
final class ServerEstimate {
    /** Maximum age of a load; requests start and end several times within it. */
    static final Duration MAX_AGE = Duration.ofSeconds(3);

    /**
     * How long a load that the backend server itself reports takes precedence over the digest of
     * control. The digest lacks the latest requests of other routers, and also requests that they
     * have given up while the server still runs them.
     */
    static final Duration SERVER_REPORT_PRECEDENCE = Duration.ofMillis(400);

    /** This router's requests in flight at the backend server. */
    private int mOwnRequests;

    /** The number of own requests in the last report. */
    private int mOwnReported;

    /** The number of own requests in the last acknowledged report. */
    private int mOwnAcknowledged;

    /** Time of the load, {@code Instant.MIN} if none is known. */
    private Instant mLoadTime = Instant.MIN;

    private Instant mServerReportTime = Instant.MIN;
    private double mLoad;

    /** The number of own requests that are included in the load. */
    private int mOwnInLoad;

    static boolean isRecent(Instant now, Instant loadTime) {
        return loadTime != Instant.MIN && now.isBefore(loadTime.plus(MAX_AGE));
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
     * Records that a report is created.
     *
     * @param full whether the report is a full one
     * @return whether the report has to list this backend server
     */
    boolean report(boolean full) {
        mOwnReported = mOwnRequests;
        return full ? mOwnRequests != 0 : mOwnRequests != mOwnAcknowledged;
    }

    /** Records that control has acknowledged the last report. */
    void onReportAcknowledged() {
        mOwnAcknowledged = mOwnReported;
    }

    /** Applies the load that the backend server itself reports. */
    void onReportedLoad(Instant now, int requests) {
        mServerReportTime = now;
        mLoadTime = now;
        mLoad = requests;
        mOwnInLoad = mOwnRequests;
    }

    /**
     * Applies the load in a digest of control.
     *
     * @param reportTime time of the report that the digest answers and includes
     */
    void onDigestLoad(Instant reportTime, double requests) {
        if (serverReportPrevails(reportTime)) {
            return;
        }
        mLoadTime = reportTime;
        mLoad = requests;
        mOwnInLoad = mOwnReported;
    }

    /**
     * Applies a digest that does not list the backend server as busy: its load is at most the mean.
     */
    void onNotListed(Instant reportTime, double mean) {
        if (mLoad > mean && !serverReportPrevails(reportTime)) {
            mLoadTime = Instant.MIN;
        }
    }

    private boolean serverReportPrevails(Instant reportTime) {
        return mServerReportTime != Instant.MIN
                && reportTime.isBefore(mServerReportTime.plus(SERVER_REPORT_PRECEDENCE));
    }

    /**
     * Returns the estimated number of requests. With its age, the known load fades into the mean.
     *
     * @param mean mean load of the service, NaN if unknown
     */
    double estimate(Instant now, double mean) {
        double fallback =
                Double.isNaN(mean)
                        ? mOwnRequests
                        : Math.max(mOwnRequests, mean + sentSinceReport());
        if (!isRecent(now, mLoadTime)) {
            return fallback;
        }
        double current = Math.max(mOwnRequests, mLoad - mOwnInLoad + mOwnRequests);
        double fadedShare = Double.isNaN(mean) ? 0 : ageMillis(now) / MAX_AGE.toMillis();
        return current + (fallback - current) * fadedShare;
    }

    private int sentSinceReport() {
        return Math.max(0, mOwnRequests - mOwnReported);
    }

    /** Returns the age of the load in milliseconds; NaN if it is not recent. */
    double ageMillis(Instant now) {
        if (!isRecent(now, mLoadTime)) {
            return Double.NaN;
        }
        // The clock may be set back.
        return Math.max(0, Duration.between(mLoadTime, now).toMillis());
    }

    /** Returns whether there are neither own requests nor a recent load. */
    boolean isUnused(Instant now) {
        return mOwnRequests == 0 && mOwnAcknowledged == 0 && !isRecent(now, mLoadTime);
    }
}
