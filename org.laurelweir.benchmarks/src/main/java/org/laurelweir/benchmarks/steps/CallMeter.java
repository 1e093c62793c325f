package org.laurelweir.benchmarks.steps;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;

/** Measures the CPU time and the allocated bytes of calls on the calling thread. */
final class CallMeter {
    private static final ThreadMXBean sThreads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private static final long WARM_UP_NANOS = 400_000_000;
    private static final long ROUND_NANOS = 60_000_000;
    private static final int ROUNDS = 7;

    private CallMeter() {}

    /** Returns the median cost of a call over several rounds, after a warm-up. */
    static Cost measure(Runnable call) {
        int calls = callsWithin(call, WARM_UP_NANOS);
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

    /** Repeats a call until a CPU time has passed and returns the number of calls. */
    private static int callsWithin(Runnable call, long limitNanos) {
        long start = sThreads.getCurrentThreadCpuTime();
        int calls = 0;
        while (sThreads.getCurrentThreadCpuTime() - start < limitNanos) {
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
