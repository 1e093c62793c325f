package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * The load of this backend server, and the mean load of its service as last received from control.
 */
final class RunningLoad {
    /**
     * The maximum age of the mean; an older mean counts as unknown. A mean from before a fall of
     * the load would let this server carry a multiple of what the others carry now. Without a mean
     * only the floor of the bound applies, which one engine can carry without harm.
     */
    static final Duration MEAN_MAX_AGE = Duration.ofSeconds(10);

    private final double mWeight;
    private double mWork;
    private int mRunning;
    private double mMean;
    private Instant mMeanTime = Instant.MIN;

    /**
     * Creates the load of an idle server.
     *
     * @param weight the server's capacity relative to the other servers of its service
     */
    RunningLoad(double weight) {
        mWeight = weight;
    }

    void add(double work) {
        mWork += work;
        mRunning++;
    }

    void remove(double work) {
        mRunning--;
        // Rounding errors add up in the sum. Without a running attempt the work is exactly 0.
        mWork = mRunning == 0 ? 0 : mWork - work;
    }

    /** Sets the service's mean work per unit of weight. */
    void setMean(Instant now, double meanPerWeight) {
        mMean = meanPerWeight * mWeight;
        mMeanTime = now;
    }

    double work() {
        return mWork;
    }

    int running() {
        return mRunning;
    }

    /**
     * Returns the mean work for a server of this weight, or 0 if the mean is unknown or too old.
     */
    double mean(Instant now) {
        boolean known = mMeanTime != Instant.MIN && !mMeanTime.plus(MEAN_MAX_AGE).isBefore(now);
        return known ? mMean : 0;
    }
}
