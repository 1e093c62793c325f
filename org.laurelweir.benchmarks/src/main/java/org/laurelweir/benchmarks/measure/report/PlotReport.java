package org.laurelweir.benchmarks.measure.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.laurelweir.benchmarks.measure.fleet.CacheReuse;
import org.laurelweir.benchmarks.measure.fleet.RunMeasurements;

/** Writes an SVG plot for each measurement: lines over time for reuse and skew, else bars. */
public final class PlotReport {
    private static final int SKEW_STEP_SECONDS = 10;
    private static final int SECONDS_PER_MINUTE = 60;

    private PlotReport() {}

    /** Writes the SVG files into the folder and replaces existing ones. */
    public static void write(Comparison c, Path folder) {
        double warmUp = c.deployment().warmUpMinutes();
        Map<String, String> plots = new LinkedHashMap<>();
        plots.put(
                "reuse",
                lines(
                        c,
                        "Share of prompt tokens found cached on returning turns, over minutes",
                        new SvgPlot.Scale(0, (double) CacheReuse.STEP_SECONDS / SECONDS_PER_MINUTE),
                        f -> f.reuse().series()));
        plots.put(
                "skew",
                lines(
                        c,
                        "Busiest engine over the mean, largest in 10 s, over minutes",
                        new SvgPlot.Scale(warmUp, (double) SKEW_STEP_SECONDS / SECONDS_PER_MINUTE),
                        f -> largest(f.skew(), SKEW_STEP_SECONDS)));
        plots.put(
                "control",
                bars(c, "Control bytes a second a router", RunMeasurements::controlBytesPerRouter));
        plots.put("hops", bars(c, "Added hops a request", RunMeasurements::meanHops));
        plots.put("deadlines", bars(c, "Share of deadlines met", RunMeasurements::deadlinesMet));
        plots.put("rejections", rejections(c));
        try {
            Files.createDirectories(folder);
            for (Map.Entry<String, String> e : plots.entrySet()) {
                Files.writeString(folder.resolve(e.getKey() + ".svg"), e.getValue());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String lines(
            Comparison c,
            String title,
            SvgPlot.Scale scale,
            Function<RunMeasurements, double[]> series) {
        Map<String, double[]> all = new LinkedHashMap<>();
        c.figures().forEach((p, f) -> all.put(p.title(), series.apply(f)));
        return SvgPlot.lines(c.deployment().name() + ": " + title, scale, all);
    }

    private static String bars(
            Comparison c, String title, Function<RunMeasurements, Double> value) {
        Map<String, double[]> all = new LinkedHashMap<>();
        c.figures().forEach((p, f) -> all.put(p.title(), new double[] {value.apply(f)}));
        return SvgPlot.bars(c.deployment().name() + ": " + title, all);
    }

    /** One bar for each of the ten largest client accounts. */
    private static String rejections(Comparison c) {
        Map<String, double[]> all = new LinkedHashMap<>();
        c.figures().forEach((p, f) -> all.put(p.title(), rejectedShares(f)));
        String title = ": Share of requests rejected, the largest client accounts";
        return SvgPlot.bars(c.deployment().name() + title, all);
    }

    private static double[] rejectedShares(RunMeasurements f) {
        long[] rejected = f.rejections();
        long[] arrived = f.arrivalsByAccount();
        double[] shares = new double[Math.min(10, arrived.length)];
        Arrays.setAll(shares, i -> arrived[i] == 0 ? 0 : (double) rejected[i] / arrived[i]);
        return shares;
    }

    private static double[] largest(double[] values, int step) {
        double[] maxima = new double[(values.length + step - 1) / step];
        for (int i = 0; i < values.length; i++) {
            maxima[i / step] = Math.max(maxima[i / step], values[i]);
        }
        return maxima;
    }
}
