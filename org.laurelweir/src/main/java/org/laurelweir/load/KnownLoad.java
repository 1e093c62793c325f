package org.laurelweir.load;

import java.time.Duration;
import java.time.Instant;

/** What a router knows of one backend server's load. */
final class KnownLoad {
    /** How long a load counts after it was told; requests come and go several times in this. */
    static final Duration BELIEVED_FOR = Duration.ofSeconds(3);

    /** This router's requests that the backend server has. */
    private int mOwn;

    /** As many as control was told with the report under way. */
    private int mOwnReported;

    private Instant mToldAt = Instant.MIN;
    private int mTold;

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

    /** Notes that control is told what this router has here. */
    int report() {
        mOwnReported = mOwn;
        return mOwn;
    }

    /** Takes what the backend server tells itself. */
    void heard(Instant now, int requests) {
        mToldAt = now;
        mTold = requests;
        mOwnThen = mOwn;
    }

    /**
     * Takes what control answers to a report, unless the backend server has told its load since.
     *
     * @param reportedAt when the report was made, which is in the answer
     */
    void told(Instant reportedAt, int requests) {
        if (reportedAt.isBefore(mToldAt)) {
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
        if (mTold > mean && !reportedAt.isBefore(mToldAt)) {
            mToldAt = Instant.MIN;
        }
    }

    /**
     * Returns the load that is believed. What was told fades into the mean as it gets older.
     *
     * @param mean of the service, NaN where it is not known
     */
    double believed(Instant now, double mean) {
        double rest = Double.isNaN(mean) ? mOwn : Math.max(mOwn, mean);
        if (!isBelieved(now, mToldAt)) {
            return rest;
        }
        double told = Math.max(mOwn, mTold - mOwnThen + mOwn);
        double faded = Double.isNaN(mean) ? 0 : ageMillis(now) / BELIEVED_FOR.toMillis();
        return told + (rest - told) * faded;
    }

    /** Returns how long ago the load was told, in milliseconds; NaN where that counts no more. */
    double ageMillis(Instant now) {
        boolean believed = isBelieved(now, mToldAt);
        return believed ? Duration.between(mToldAt, now).toMillis() : Double.NaN;
    }

    /** Returns whether nothing is left to know. */
    boolean isForgotten(Instant now) {
        return mOwn == 0 && !isBelieved(now, mToldAt);
    }
}
