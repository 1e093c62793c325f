package org.laurelweir.benchmarks.measure.report;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;
import org.laurelweir.benchmarks.measure.policy.Policy;

/** The table that bin/measure prints, in Markdown. */
public final class TableReport {
    private static final List<Column> COLUMNS =
            List.of(
                    new Column("reuse", "%.4f", (c, p) -> figures(c, p).reuse().share()),
                    new Column("in churn", "%.4f", (c, p) -> figures(c, p).reuse().churnShare()),
                    new Column("of all-knowing", "%.4f", Comparison::churnReuseOfOracle),
                    new Column("skew p50", "%.3f", (c, p) -> skew(c, p, 50)),
                    new Column("p99", "%.3f", (c, p) -> skew(c, p, 99)),
                    new Column("max", "%.3f", (c, p) -> skew(c, p, 100)),
                    new Column(
                            "admitted over factor",
                            "%.4f",
                            (c, p) -> figures(c, p).startedOverFactor()),
                    new Column(
                            "control B/s", "%.0f", (c, p) -> figures(c, p).controlBytesPerRouter()),
                    new Column("at 3,800 workers", "%.0f", TableReport::controlAtTarget),
                    new Column("added hops", "%.3f", (c, p) -> figures(c, p).meanHops()),
                    new Column("rejected", "%.0f", (c, p) -> rejected(figures(c, p))),
                    new Column(
                            "worst account",
                            "%.4f",
                            (c, p) -> Comparison.worstRejectionShare(figures(c, p))),
                    new Column("deadlines met", "%.4f", (c, p) -> figures(c, p).deadlinesMet()),
                    new Column(
                            "first token p95 ms",
                            "%.0f",
                            (c, p) -> figures(c, p).firstTokenMillis(95)));

    private TableReport() {}

    private record Column(
            String title, String format, BiFunction<Comparison, Policy, Double> value) {}

    /** Returns the comparison as a table with one row for each policy. */
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
        out.append(line("policy", COLUMNS.stream().map(Column::title).toList()));
        out.append(line("---", COLUMNS.stream().map(column -> "---").toList()));
        c.figures().keySet().forEach(p -> out.append(line(p.title(), cells(c, p))));
        return out.toString();
    }

    private static List<String> cells(Comparison c, Policy p) {
        return COLUMNS.stream()
                .map(col -> String.format(Locale.ROOT, col.format(), col.value().apply(c, p)))
                .toList();
    }

    private static String line(String first, List<String> cells) {
        return cells.stream().collect(Collectors.joining(" | ", "| " + first + " | ", " |\n"));
    }

    private static RunMeasurements figures(Comparison c, Policy p) {
        return c.figures().get(p);
    }

    private static double skew(Comparison c, Policy p, double percent) {
        return Comparison.percentile(figures(c, p).skew(), percent);
    }

    private static double controlAtTarget(Comparison c, Policy p) {
        return figures(c, p)
                .controlBytesPerRouterAt(
                        Comparison.TARGET_WORKERS, Comparison.TARGET_REQUESTS_PER_ROUTER);
    }

    private static double rejected(RunMeasurements f) {
        return Arrays.stream(f.rejections()).sum();
    }
}
