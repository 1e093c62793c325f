package org.laurelweir.benchmarks.measure;

import java.util.stream.IntStream;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;

/**
 * Missed deadlines by client account. A rejected request counts as missed.
 *
 * @param figures the measurements of one run
 * @param surging index of the surging account, which the totals of the others exclude
 */
record AccountMisses(RunMeasurements figures, int surging) {
    private IntStream others() {
        return IntStream.range(0, figures.arrivalsByAccount().length).filter(a -> a != surging);
    }

    long missed(int account) {
        return figures.arrivalsByAccount()[account] - figures.deadlinesMetByAccount()[account];
    }

    long rejected(int account) {
        return figures.rejections()[account];
    }

    /** Returns the share of an account's requests that missed their deadline. */
    double missedShare(int account) {
        long arrived = figures.arrivalsByAccount()[account];
        return arrived == 0 ? 0 : (double) missed(account) / arrived;
    }

    long othersArrived() {
        return others().mapToLong(a -> figures.arrivalsByAccount()[a]).sum();
    }

    long othersMissed() {
        return others().mapToLong(this::missed).sum();
    }

    long othersRejected() {
        return others().mapToLong(this::rejected).sum();
    }

    double othersMissedShare() {
        return (double) othersMissed() / othersArrived();
    }

    /** Returns the largest share of missed deadlines among the other accounts. */
    double worstMissedShare() {
        return others().mapToDouble(this::missedShare).max().orElse(0);
    }
}
