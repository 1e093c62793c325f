package org.laurelweir.benchmarks.measure.report;

import java.util.Arrays;
import java.util.Map;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;
import org.laurelweir.benchmarks.measure.policy.Policy;

/**
 * The measurements of all policies on one deployment.
 *
 * @param deployment the fleet and its workload
 * @param seed of the arrivals, the churn and the lags
 * @param figures measurements by policy
 */
public record Comparison(Deployment deployment, long seed, Map<Policy, RunMeasurements> figures) {
    /** Backend servers at the two-year target size, from the developers' page. */
    static final int TARGET_WORKERS = 3800;

    /** Requests per second of each of the 360 routers at the two-year target size. */
    static final double TARGET_REQUESTS_PER_ROUTER = 11000.0 / 360;

    /** Client accounts with fewer requests are left out of {@link #worstRejectionShare}. */
    private static final int MIN_ARRIVALS = 200;

    /** Returns a policy's cache reuse during churn, as a share of the oracle's. */
    double churnReuseOfOracle(Policy policy) {
        double oracle = figures.get(Policy.ALL_KNOWING).reuse().churnShare();
        return figures.get(policy).reuse().churnShare() / oracle;
    }

    static double percentile(double[] values, double percent) {
        if (values.length == 0) {
            return Double.NaN;
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int rank = (int) Math.ceil(percent / 100 * sorted.length) - 1;
        return sorted[Math.max(0, rank)];
    }

    /**
     * Returns the largest share of rejected requests of any client account with at least {@link
     * #MIN_ARRIVALS} requests.
     */
    static double worstRejectionShare(RunMeasurements f) {
        long[] rejected = f.rejections();
        long[] arrived = f.arrivalsByAccount();
        double worst = 0;
        for (int i = 0; i < rejected.length; i++) {
            if (arrived[i] >= MIN_ARRIVALS) {
                worst = Math.max(worst, (double) rejected[i] / arrived[i]);
            }
        }
        return worst;
    }
}
