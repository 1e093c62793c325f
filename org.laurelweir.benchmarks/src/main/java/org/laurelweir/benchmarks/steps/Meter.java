package org.laurelweir.benchmarks.steps;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;

/** Measures calls by the processor time and allocation of the calling thread. */
final class Meter {
    private static final ThreadMXBean sThreads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private static final long WARM_UP_NANOS = 400_000_000;
    private static final long ROUND_NANOS = 60_000_000;
    private static final int ROUNDS = 7;

    private Meter() {}

    /** Returns the median cost of a call over several rounds, after a warm-up. */
    static Cost measure(Runnable call) {
        int calls = callsIn(call, WARM_UP_NANOS);
        int perRound = (int) Math.max(1, calls * ROUND_NANOS / WARM_UP_NANOS);
        double[] nanos = new double[ROUNDS];
        double[] bytes = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            long cpu = sThreads.getCurrentThreadCpuTime();
            long allocated = sThreads.getCurrentThreadAllocatedBytes();
            for (int j = 0; j < perRound; j++) {
                call.run();
            }
            bytes[i] = (double) (sThreads.getCurrentThreadAllocatedBytes() - allocated) / perRound;
            nanos[i] = (double) (sThreads.getCurrentThreadCpuTime() - cpu) / perRound;
        }
        return new Cost(median(nanos), median(bytes));
    }

    private static int callsIn(Runnable call, long limit) {
        long start = sThreads.getCurrentThreadCpuTime();
        int calls = 0;
        while (sThreads.getCurrentThreadCpuTime() - start < limit) {
            call.run();
            calls++;
        }
        return calls;
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }
}
