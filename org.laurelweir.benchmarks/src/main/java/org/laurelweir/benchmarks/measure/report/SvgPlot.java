package org.laurelweir.benchmarks.measure.report;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Draws plain line and bar plots as SVG. */
final class SvgPlot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int LEFT = 60;
    private static final int TOP = 40;
    private static final int PLOT_WIDTH = 640;
    private static final int PLOT_HEIGHT = 330;
    private static final int LEGEND_X = LEFT + PLOT_WIDTH + 20;
    private static final int LEGEND_STEP = 20;
    private static final int TICKS = 5;
    private static final List<String> COLOURS =
            List.of("#999999", "#e69f00", "#56b4e9", "#009e73", "#d55e00", "#cc79a7", "#000000");

    private final StringBuilder mOut = new StringBuilder();

    /**
     * The scale of the x axis.
     *
     * @param first x of the first value
     * @param step x from one value to the next
     */
    record Scale(double first, double step) {}

    private SvgPlot(String title) {
        add(
                "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'"
                        + " font-family='sans-serif' font-size='12'>%n",
                WIDTH, HEIGHT);
        add("<rect width='%d' height='%d' fill='white'/>%n", WIDTH, HEIGHT);
        add("<text x='%d' y='20' font-size='14'>%s</text>%n", LEFT, title);
    }

    private void add(String format, Object... values) {
        mOut.append(String.format(Locale.ROOT, format, values));
    }

    /** Returns a plot with one line for each series. NaN values are left out. */
    static String lines(String title, Scale scale, Map<String, double[]> series) {
        SvgPlot plot = new SvgPlot(title);
        double[] all = series.values().stream().flatMapToDouble(Arrays::stream).toArray();
        double low = Arrays.stream(all).filter(Double::isFinite).min().orElse(0);
        double high = Arrays.stream(all).filter(Double::isFinite).max().orElse(1);
        int longest = series.values().stream().mapToInt(v -> v.length).max().orElse(1);
        plot.axes(low, high);
        plot.xTicks(scale, longest);
        int i = 0;
        for (Map.Entry<String, double[]> e : series.entrySet()) {
            plot.line(e.getValue(), longest, low, high, COLOURS.get(i % COLOURS.size()));
            plot.legend(i++, e.getKey());
        }
        return plot.end();
    }

    /** Returns a plot with a group of bars for each series. */
    static String bars(String title, Map<String, double[]> series) {
        SvgPlot plot = new SvgPlot(title);
        double high = series.values().stream().flatMapToDouble(Arrays::stream).max().orElse(1);
        high = high <= 0 ? 1 : high;
        plot.axes(0, high);
        int count = series.values().stream().mapToInt(v -> v.length).sum();
        double width = (double) PLOT_WIDTH / (count + series.size());
        double x = LEFT + width / 2;
        int i = 0;
        for (Map.Entry<String, double[]> e : series.entrySet()) {
            for (double v : e.getValue()) {
                plot.bar(x, width * 0.9, v / high, COLOURS.get(i % COLOURS.size()));
                x += width;
            }
            x += width;
            plot.legend(i++, e.getKey());
        }
        return plot.end();
    }

    private void axes(double low, double high) {
        for (int i = 0; i <= TICKS; i++) {
            double value = low + (high - low) * i / TICKS;
            double y = TOP + PLOT_HEIGHT * (1 - (double) i / TICKS);
            add(
                    "<line x1='%d' y1='%.1f' x2='%d' y2='%.1f' stroke='#dddddd'/>%n",
                    LEFT, y, LEFT + PLOT_WIDTH, y);
            add("<text x='%d' y='%.1f' text-anchor='end'>%.4g</text>%n", LEFT - 6, y + 4, value);
        }
    }

    private void xTicks(Scale scale, int count) {
        for (int i = 0; i <= TICKS; i++) {
            double value = scale.first() + scale.step() * count * i / TICKS;
            int x = LEFT + PLOT_WIDTH * i / TICKS;
            add(
                    "<text x='%d' y='%d' text-anchor='middle'>%.0f</text>%n",
                    x, TOP + PLOT_HEIGHT + 18, value);
        }
    }

    private void line(double[] values, int longest, double low, double high, String colour) {
        add("<polyline fill='none' stroke-width='1.5' stroke='%s' points='", colour);
        for (int i = 0; i < values.length; i++) {
            if (Double.isFinite(values[i])) {
                double x = LEFT + (double) PLOT_WIDTH * i / longest;
                double y = TOP + PLOT_HEIGHT * (1 - (values[i] - low) / (high - low));
                add("%.1f,%.1f ", x, y);
            }
        }
        add("'/>%n");
    }

    private void bar(double x, double width, double share, String colour) {
        double height = PLOT_HEIGHT * share;
        add(
                "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='%s'/>%n",
                x, TOP + PLOT_HEIGHT - height, width, height, colour);
    }

    private void legend(int i, String name) {
        int y = TOP + LEGEND_STEP * i;
        String colour = COLOURS.get(i % COLOURS.size());
        add("<rect x='%d' y='%d' width='12' height='12' fill='%s'/>%n", LEGEND_X, y, colour);
        add("<text x='%d' y='%d'>%s</text>%n", LEGEND_X + LEGEND_STEP, y + 11, name);
    }

    private String end() {
        return mOut.append("</svg>\n").toString();
    }
}
