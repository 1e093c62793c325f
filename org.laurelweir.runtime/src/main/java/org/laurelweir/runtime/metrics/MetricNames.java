package org.laurelweir.runtime.metrics;

/**
 * Builds the names under which metrics are registered. Words are parted by dots. Labels follow in
 * braces as the exposition format writes them, as Dropwizard knows none.
 */
public final class MetricNames {
    private MetricNames() {}

    /**
     * Adds labels to a name.
     *
     * @param name words parted by dots, such as {@code requests.answered}
     * @param labels label names and values by turns; few values each, as each makes a metric
     * @return the name to register
     */
    public static String labelled(String name, String... labels) {
        StringBuilder s = new StringBuilder(name).append('{');
        for (int i = 0; i < labels.length; i += 2) {
            if (i > 0) {
                s.append(',');
            }
            s.append(labels[i]).append("=\"").append(escape(labels[i + 1])).append('"');
        }
        return s.append('}').toString();
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
