package org.laurelweir.benchmarks.steps;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures what a state keeps on the heap, garbage left out. Needs
 * -XX:MarkSweepAlwaysCompactCount=1: else three of four collections leave some garbage where it is,
 * and it counts as used.
 */
final class Heap {
    private static final MemoryMXBean sMemory = ManagementFactory.getMemoryMXBean();

    private static final int ROUNDS = 3;

    private Heap() {}

    /**
     * Returns the bytes that a state keeps, all that it alone leads to included: the median of
     * several, since the virtual machine's own objects come and go meanwhile. The first one also
     * loads classes and fills caches, and is left out.
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
        Object kept = state.get();
        long after = used();
        Reference.reachabilityFence(kept);
        return after - before;
    }

    private static long used() {
        System.gc();
        return sMemory.getHeapMemoryUsage().getUsed();
    }
}
