package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;

/** What runs beside the sidecar, and the service's mean as it was last heard. */
final class RunningLoad {
    /**
     * A mean older than this counts as unknown. A mean from before load fell would let this server
     * carry a multiple of what the others carry now; without one, only the bound's floor holds,
     * which does no harm to one engine.
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
     * @param weight the server's capacity relative to the service's other ones
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
        // Sums of fractions drift; an idle server carries exactly nothing.
        mWork = mRunning == 0 ? 0 : mWork - work;
    }

    /** Notes the service's mean work per unit of weight. */
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

    /** Returns the mean for a server of this weight, or 0 where none is known. */
    double mean(Instant now) {
        boolean known = mMeanTime != Instant.MIN && !mMeanTime.plus(MEAN_MAX_AGE).isBefore(now);
        return known ? mMean : 0;
    }
}
