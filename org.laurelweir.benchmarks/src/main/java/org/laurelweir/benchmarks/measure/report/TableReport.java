package org.laurelweir.benchmarks.measure.report;

import java.util.Arrays;
import java.util.Locale;
import org.laurelweir.benchmarks.measure.fleet.Figures;
import org.laurelweir.benchmarks.measure.policy.Policy;

/** The table that bin/measure prints, in Markdown. */
public final class TableReport {
    private static final String HEAD =
            """
            | policy | reuse | reuse in churn | of all-knowing | skew p50 | p99 | max | \
            control B/s a router | at 3,800 workers | added hops | rejected | worst account | \
            deadlines met | first token p95 ms |
            |---|---|---|---|---|---|---|---|---|---|---|---|---|---|
            """;

    private TableReport() {}

    /** Returns the table of a comparison. */
    public static String table(Comparison c) {
        StringBuilder out = new StringBuilder();
        out.append(
                String.format(
                        Locale.ROOT,
                        "%s: %d workers, %d routers, %.0f requests/s, factor %.2f, seed %d%n%n",
                        c.deployment().name(),
                        c.deployment().workers(),
                        c.deployment().routers(),
                        c.deployment().requestsPerSecond(),
                        c.deployment().bound().factor(),
                        c.seed()));
        out.append(HEAD);
        c.figures().keySet().forEach(p -> out.append(row(c, p)));
        return out.toString();
    }

    private static String row(Comparison c, Policy policy) {
        Figures f = c.figures().get(policy);
        double[] skew = f.skew();
        return String.format(
                Locale.ROOT,
                "| %s | %.4f | %.4f | %.4f | %.3f | %.3f | %.3f | %.0f | %.0f | %.3f | %d | %.4f"
                        + " | %.4f | %.0f |%n",
                policy.title(),
                f.reuse().share(),
                f.reuse().churnShare(),
                c.churnReuseOfBest(policy),
                Comparison.percentile(skew, 50),
                Comparison.percentile(skew, 99),
                Comparison.percentile(skew, 100),
                f.controlPerRouter(),
                f.controlPerRouterAt(Comparison.TARGET_WORKERS, Comparison.TARGET_REQUESTS),
                f.meanHops(),
                Arrays.stream(f.rejections()).sum(),
                Comparison.worstRejectionShare(f),
                f.deadlinesMet(),
                f.firstTokenMillis(95));
    }
}
