package org.laurelweir.benchmarks.steps;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/** Runs measurements at several sizes and prints a line for each. */
final class Report {
    private final PrintStream mOut;

    Report(PrintStream out) {
        mOut = out;
    }

    void heading(String text) {
        mOut.printf("%n== %s%n", text);
    }

    /**
     * Measures a step at several sizes. The last column is the exponent b in cost = a * size^b
     * between the smallest and the largest size: 0 is constant cost, 1 is linear.
     *
     * @param name name of the step
     * @param unit unit of the sizes
     * @param sizes sizes in ascending order
     * @param prepare creates a state of a size and returns one call of the step
     */
    void steps(String name, String unit, int[] sizes, IntFunction<Runnable> prepare) {
        List<String> cells = new ArrayList<>();
        Cost first = null;
        Cost last = null;
        for (int size : sizes) {
            last = CallMeter.measure(prepare.apply(size));
            first = first == null ? last : first;
            cells.add(format("%,d: %,.0f ns %,.0f B", size, last.nanos(), last.bytes()));
        }
        double growth = Math.log((double) sizes[sizes.length - 1] / sizes[0]);
        String exponent =
                format(
                        "b %.2f time %.2f bytes",
                        Math.log(last.nanos() / first.nanos()) / growth,
                        Math.log(Math.max(1, last.bytes()) / Math.max(1, first.bytes())) / growth);
        mOut.printf("%-44s %-9s %s | %s%n", name, unit, String.join(" | ", cells), exponent);
    }

    /**
     * Measures the heap size of a state at several sizes. The last column is the slope of a
     * least-squares fit, in bytes per element.
     */
    void heap(String name, String unit, int[] sizes, IntFunction<Supplier<?>> state) {
        List<String> cells = new ArrayList<>();
        long[] bytes = new long[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            bytes[i] = HeapMeter.bytesOf(state.apply(sizes[i]));
            cells.add(format("%,d: %,.1f KiB", sizes[i], bytes[i] / 1024.0));
        }
        String fit = format("%,.0f B each", slope(sizes, bytes));
        mOut.printf("%-44s %-9s %s | %s%n", name, unit, String.join(" | ", cells), fit);
    }

    /** Prints the encoded size of a message. */
    void size(String message, int bytes) {
        mOut.printf("%-60s %,d B%n", message, bytes);
    }

    /** Returns the slope of the least-squares line. */
    private static double slope(int[] x, long[] y) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < x.length; i++) {
            meanX += (double) x[i] / x.length;
            meanY += (double) y[i] / x.length;
        }
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < x.length; i++) {
            covariance += (x[i] - meanX) * (y[i] - meanY);
            variance += (x[i] - meanX) * (x[i] - meanX);
        }
        return covariance / variance;
    }

    private static String format(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }
}
