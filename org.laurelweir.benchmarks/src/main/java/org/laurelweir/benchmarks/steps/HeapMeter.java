package org.laurelweir.benchmarks.steps;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures the heap memory that a state retains, without garbage. The virtual machine must run with
 * -XX:MarkSweepAlwaysCompactCount=1. Otherwise three of four collections leave some garbage in
 * place, which then counts as used.
 */
final class HeapMeter {
    private static final MemoryMXBean sMemory = ManagementFactory.getMemoryMXBean();

    private static final int ROUNDS = 3;

    private HeapMeter() {}

    /**
     * Returns the bytes that a state retains, with all objects reachable only through it. The
     * result is the median of several measurements, since the virtual machine's own objects change
     * meanwhile. The state is created once before them, to load classes and fill caches.
     */
    static long bytesOf(Supplier<?> state) {
        state.get();
        long[] bytes = new long[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            bytes[i] = measure(state);
        }
        Arrays.sort(bytes);
        return bytes[ROUNDS / 2];
    }

    private static long measure(Supplier<?> state) {
        long before = used();
        Object retained = state.get();
        long after = used();
        Reference.reachabilityFence(retained);
        return after - before;
    }

    private static long used() {
        System.gc();
        return sMemory.getHeapMemoryUsage().getUsed();
    }
}
