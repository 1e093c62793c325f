package org.laurelweir.benchmarks.measure.report;

import java.util.Arrays;
import java.util.Map;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.fleet.Figures;
import org.laurelweir.benchmarks.measure.policy.Policy;

/**
 * All policies on one deployment.
 *
 * @param deployment what was played
 * @param seed of the arrivals, the churn and the lags
 * @param figures by policy
 */
public record Comparison(Deployment deployment, long seed, Map<Policy, Figures> figures) {
    /** Workers of the two-year size, from the developers' page. */
    static final int TARGET_WORKERS = 3800;

    /** Requests a second of each of the 360 routers of the two-year size. */
    static final double TARGET_REQUESTS = 11000.0 / 360;

    /** Client accounts with fewer requests are left out of shares by account. */
    private static final int FEWEST_ARRIVALS = 200;

    /** Returns a policy's cache reuse against the all-knowing one's, while engines are replaced. */
    double churnReuseOfBest(Policy policy) {
        double best = figures.get(Policy.ALL_KNOWING).reuse().churnShare();
        return figures.get(policy).reuse().churnShare() / best;
    }

    static double percentile(double[] values, double percent) {
        if (values.length == 0) {
            return Double.NaN;
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int at = (int) Math.ceil(percent / 100 * sorted.length) - 1;
        return sorted[Math.max(0, at)];
    }

    /** Returns the largest share of its requests that any but a tiny account had rejected. */
    static double worstRejectionShare(Figures f) {
        long[] rejected = f.rejections();
        long[] arrived = f.arrivalsByAccount();
        double worst = 0;
        for (int i = 0; i < rejected.length; i++) {
            if (arrived[i] >= FEWEST_ARRIVALS) {
                worst = Math.max(worst, (double) rejected[i] / arrived[i]);
            }
        }
        return worst;
    }
}
