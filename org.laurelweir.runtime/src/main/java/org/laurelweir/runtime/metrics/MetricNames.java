package org.laurelweir.runtime.metrics;

/**
 * Builds the names under which metrics are registered. Dots separate the words of a name.
 * Dropwizard has no labels, so the labels are part of the name, in braces as in the exposition
 * format.
 */
public final class MetricNames {
    private MetricNames() {}

    /**
     * Adds labels to a name.
     *
     * @param name words separated by dots, such as {@code requests.answered}
     * @param labels label names and values in turn; each distinct value creates a metric, so use
     *     labels with few values
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
