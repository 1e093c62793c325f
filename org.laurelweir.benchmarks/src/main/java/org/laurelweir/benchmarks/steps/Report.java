package org.laurelweir.benchmarks.steps;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/** Runs measurements at their sizes and prints a line for each. */
final class Report {
    private final PrintStream mOut;

    Report(PrintStream out) {
        mOut = out;
    }

    void heading(String text) {
        mOut.printf("%n== %s%n", text);
    }

    /**
     * Measures a step at several sizes. The last column is the exponent b of cost = a size^b
     * between the least and the greatest size: 0 is constant, 1 linear.
     *
     * @param name of the step
     * @param unit of the sizes
     * @param sizes rising
     * @param prepare fills a state of a size and returns one call of the step
     */
    void steps(String name, String unit, int[] sizes, IntFunction<Runnable> prepare) {
        List<String> cells = new ArrayList<>();
        Cost first = null;
        Cost last = null;
        for (int size : sizes) {
            last = Meter.measure(prepare.apply(size));
            first = first == null ? last : first;
            cells.add(text("%,d: %,.0f ns %,.0f B", size, last.nanos(), last.bytes()));
        }
        double growth = Math.log((double) sizes[sizes.length - 1] / sizes[0]);
        String exponent =
                text(
                        "b %.2f time %.2f bytes",
                        Math.log(last.nanos() / first.nanos()) / growth,
                        Math.log(Math.max(1, last.bytes()) / Math.max(1, first.bytes())) / growth);
        mOut.printf("%-44s %-9s %s | %s%n", name, unit, String.join(" | ", cells), exponent);
    }

    /** Measures what a state keeps at several sizes; the last column is the slope between them. */
    void heap(String name, String unit, int[] sizes, IntFunction<Supplier<?>> state) {
        List<String> cells = new ArrayList<>();
        long[] bytes = new long[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            bytes[i] = Heap.bytesOf(state.apply(sizes[i]));
            cells.add(text("%,d: %,.1f KiB", sizes[i], bytes[i] / 1024.0));
        }
        String fit = text("%,.0f B each", slope(sizes, bytes));
        mOut.printf("%-44s %-9s %s | %s%n", name, unit, String.join(" | ", cells), fit);
    }

    /** Prints the encoded size of a message. */
    void size(String message, int bytes) {
        mOut.printf("%-60s %,d B%n", message, bytes);
    }

    /** Returns the least-squares slope. */
    private static double slope(int[] x, long[] y) {
        double meanX = 0;
        double meanY = 0;
        for (int i = 0; i < x.length; i++) {
            meanX += (double) x[i] / x.length;
            meanY += (double) y[i] / x.length;
        }
        double over = 0;
        double under = 0;
        for (int i = 0; i < x.length; i++) {
            over += (x[i] - meanX) * (y[i] - meanY);
            under += (x[i] - meanX) * (x[i] - meanX);
        }
        return over / under;
    }

    private static String text(String format, Object... arguments) {
        return String.format(Locale.ROOT, format, arguments);
    }
}
