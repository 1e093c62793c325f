package org.laurelweir.runtime.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;

/**
 * Formats a registry in the text exposition format, version 0.0.4. Meters and counters become
 * counters with the suffix {@code _total}, but a counter with a negative count becomes a gauge.
 * Histograms become summaries. Timers become summaries in seconds with the suffix {@code _seconds}.
 * Gauges that are not numbers are omitted.
 */
final class MetricsText {
    private static final String PREFIX = "laurelweir_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};
    private static final double NANOS_PER_SECOND = 1e9;

    private final StringBuilder mText = new StringBuilder();
    private String mCurrentFamily = "";

    private MetricsText() {}

    static String format(MetricRegistry registry) {
        MetricsText text = new MetricsText();
        // Sorted by family, so that all series of a family follow its single TYPE line.
        Map<String, Metric> sorted = new TreeMap<>();
        registry.getMetrics().forEach((name, m) -> sorted.put(withBraces(name), m));
        sorted.forEach(text::append);
        return text.mText.toString();
    }

    private static String withBraces(String name) {
        return name.indexOf('{') < 0 ? name + "{}" : name;
    }

    private void append(String name, Metric metric) {
        int brace = name.indexOf('{');
        String family = PREFIX + name.substring(0, brace).replaceAll("[^a-zA-Z0-9_]", "_");
        String labels = name.substring(brace + 1, name.length() - 1);
        if (metric instanceof Gauge<?> g) {
            appendGauge(family, labels, g.getValue());
        } else if (metric instanceof Sampling s) {
            boolean isTimer = metric instanceof Timer;
            String suffix = isTimer ? "_seconds" : "";
            double scale = isTimer ? 1 / NANOS_PER_SECOND : 1;
            long count = ((Counting) metric).getCount();
            appendSummary(family + suffix, labels, s.getSnapshot(), count, scale);
        } else if (metric instanceof Counter c && c.getCount() < 0) {
            appendGauge(family, labels, c.getCount());
        } else if (metric instanceof Counting c) {
            appendType(family + "_total", "counter");
            appendSample(family + "_total", labels, Long.toString(c.getCount()));
        }
    }

    private void appendGauge(String family, String labels, Object value) {
        if (value instanceof Number n) {
            appendType(family, "gauge");
            appendSample(family, labels, n.toString());
        }
    }

    private void appendSummary(
            String family, String labels, Snapshot snapshot, long count, double scale) {
        appendType(family, "summary");
        String labelPrefix = labels.isEmpty() ? "" : labels + ",";
        for (double q : QUANTILES) {
            String value = Double.toString(snapshot.getValue(q) * scale);
            appendSample(family, labelPrefix + "quantile=\"" + q + "\"", value);
        }
        appendSample(family + "_count", labels, Long.toString(count));
    }

    private void appendType(String family, String type) {
        if (!family.equals(mCurrentFamily)) {
            mText.append("# TYPE ").append(family).append(' ').append(type).append('\n');
            mCurrentFamily = family;
        }
    }

    private void appendSample(String name, String labels, String value) {
        mText.append(name);
        if (!labels.isEmpty()) {
            mText.append('{').append(labels).append('}');
        }
        mText.append(' ').append(value).append('\n');
    }
}
