package org.laurelweir.demand;

import java.time.Duration;
import java.time.Instant;

/**
 * A mean of observations that fades into a prior value: the weight of an observation decays with
 * its age, that of the prior does not.
 */
final class DecayingMean {
    private final double mPrior;
    private final double mPriorWeight;
    private final double mDecayMillis;
    private double mWeight;
    private double mSum;
    private Instant mTime = Instant.MIN;

    /**
     * Creates a mean without observations.
     *
     * @param prior the value without observations
     * @param priorWeight the number of observations that the prior counts as
     * @param decay the time in which the weight of an observation falls to 1/e
     */
    DecayingMean(double prior, double priorWeight, Duration decay) {
        mPrior = prior;
        mPriorWeight = priorWeight;
        mDecayMillis = decay.toMillis();
    }

    void add(Instant now, double value, double weight) {
        double remaining = remaining(now);
        mWeight = mWeight * remaining + weight;
        mSum = mSum * remaining + weight * value;
        // The clock may be set back; the observations are then as old as before.
        mTime = mTime.isAfter(now) ? mTime : now;
    }

    double value(Instant now) {
        double remaining = remaining(now);
        return (mPriorWeight * mPrior + mSum * remaining) / (mPriorWeight + mWeight * remaining);
    }

    /** Returns the weight of the observations, without the prior's. */
    double weight(Instant now) {
        return mWeight * remaining(now);
    }

    private double remaining(Instant now) {
        if (mTime.equals(Instant.MIN)) {
            return 0;
        }
        return Math.exp(-Math.max(0, Duration.between(mTime, now).toMillis()) / mDecayMillis);
    }
}
