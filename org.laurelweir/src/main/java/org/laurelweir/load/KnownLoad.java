package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;

/** What a router knows of one backend server's load. */
final class KnownLoad {
    /** How long a load counts after it was told; requests come and go several times in this. */
    static final Duration BELIEVED_FOR = Duration.ofSeconds(3);

    /**
     * How long the backend server's own word goes before the sum over all routers, in which what
     * the others sent lately is not yet, and what they gave up is not any more.
     */
    static final Duration HEARD_FIRST_FOR = Duration.ofMillis(400);

    /** This router's requests that the backend server has. */
    private int mOwn;

    /** As many as were told with the last report. */
    private int mOwnReported;

    /** As many as control has taken. */
    private int mOwnTaken;

    private Instant mToldAt = Instant.MIN;
    private Instant mHeardAt = Instant.MIN;
    private double mTold;

    /** Of the requests that were told, those of this router. */
    private int mOwnThen;

    static boolean isBelieved(Instant now, Instant toldAt) {
        return toldAt != Instant.MIN && now.isBefore(toldAt.plus(BELIEVED_FOR));
    }

    void begin() {
        mOwn++;
    }

    void end() {
        mOwn = Math.max(0, mOwn - 1);
    }

    int own() {
        return mOwn;
    }

    /**
     * Notes that a report is made.
     *
     * @param whole whether control is told all that this router has
     * @return whether control has to be told what it has here
     */
    boolean report(boolean whole) {
        mOwnReported = mOwn;
        return whole ? mOwn != 0 : mOwn != mOwnTaken;
    }

    /** Control has taken the last report. */
    void taken() {
        mOwnTaken = mOwnReported;
    }

    /** Takes what the backend server tells itself. */
    void heard(Instant now, int requests) {
        mHeardAt = now;
        mToldAt = now;
        mTold = requests;
        mOwnThen = mOwn;
    }

    /**
     * Takes what control answers to a report.
     *
     * @param reportedAt when the report was made, which is in the answer
     */
    void told(Instant reportedAt, double requests) {
        if (isHeardFirst(reportedAt)) {
            return;
        }
        mToldAt = reportedAt;
        mTold = requests;
        mOwnThen = mOwnReported;
    }

    /**
     * Takes that control does not name the backend server in its answer to a report: it has no more
     * than the mean.
     */
    void notNamed(Instant reportedAt, double mean) {
        if (mTold > mean && !isHeardFirst(reportedAt)) {
            mToldAt = Instant.MIN;
        }
    }

    private boolean isHeardFirst(Instant reportedAt) {
        return mHeardAt != Instant.MIN && reportedAt.isBefore(mHeardAt.plus(HEARD_FIRST_FOR));
    }

    /**
     * Returns the load that is believed. What was told fades into the mean as it gets older.
     *
     * @param mean of the service, NaN where it is not known
     */
    double believed(Instant now, double mean) {
        double rest = Double.isNaN(mean) ? mOwn : Math.max(mOwn, mean + sentSinceReport());
        if (!isBelieved(now, mToldAt)) {
            return rest;
        }
        double told = Math.max(mOwn, mTold - mOwnThen + mOwn);
        double faded = Double.isNaN(mean) ? 0 : ageMillis(now) / BELIEVED_FOR.toMillis();
        return told + (rest - told) * faded;
    }

    private int sentSinceReport() {
        return Math.max(0, mOwn - mOwnReported);
    }

    /** Returns how long ago the load was told, in milliseconds; NaN where that counts no more. */
    double ageMillis(Instant now) {
        if (!isBelieved(now, mToldAt)) {
            return Double.NaN;
        }
        // The clock may have been set back.
        return Math.max(0, Duration.between(mToldAt, now).toMillis());
    }

    /** Returns whether nothing is left to know. */
    boolean isForgotten(Instant now) {
        return mOwn == 0 && mOwnTaken == 0 && !isBelieved(now, mToldAt);
    }
}
