package org.laurelweir.benchmarks.measure.workload;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.laurelweir.benchmarks.measure.Deployment.Dossier;
import org.laurelweir.benchmarks.measure.Deployment.Pause;
import org.laurelweir.benchmarks.measure.Deployment.Tokens;

/** Draws random values from the distributions of a workload. */
final class Sampler {
    private final SplittableRandom mRandom;

    Sampler(SplittableRandom random) {
        mRandom = random;
    }

    double uniform() {
        return mRandom.nextDouble();
    }

    int uniformInt(int bound) {
        return mRandom.nextInt(bound);
    }

    double exponential(double rate) {
        return -Math.log(1 - mRandom.nextDouble()) / rate;
    }

    /** Returns the number of failures before the first success, with a success probability. */
    int geometric(double probability) {
        return (int) (Math.log(1 - mRandom.nextDouble()) / Math.log(1 - probability));
    }

    int tokens(Tokens t) {
        return Math.max(1, (int) (t.median() * Math.exp(t.sigma() * gaussian())));
    }

    int pareto(Dossier d) {
        double x = d.least() / Math.pow(1 - mRandom.nextDouble(), 1 / d.alpha());
        return (int) Math.min(d.most(), x);
    }

    double pause(List<Pause> mixture) {
        double at = mRandom.nextDouble();
        for (Pause p : mixture) {
            at -= p.share();
            if (at < 0) {
                return p.medianSeconds() * Math.exp(p.sigma() * gaussian());
            }
        }
        Pause last = mixture.get(mixture.size() - 1);
        return last.medianSeconds() * Math.exp(last.sigma() * gaussian());
    }

    /**
     * Returns the length of a pause that covers a random moment. Long pauses cover more moments, so
     * the distribution is length-biased.
     */
    double lengthBiased(Pause p) {
        double median = p.medianSeconds() * Math.exp(p.sigma() * p.sigma());
        return median * Math.exp(p.sigma() * gaussian());
    }

    /** Returns a random index, weighted by cumulative shares that end at 1. */
    int pickIndex(double[] cumulativeShares) {
        int at = Arrays.binarySearch(cumulativeShares, mRandom.nextDouble());
        return Math.min(cumulativeShares.length - 1, at < 0 ? -at - 1 : at + 1);
    }

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()));
        return radius * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }
}
