package org.laurelweir.benchmarks.steps;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures what a state keeps on the heap, garbage left out. */
final class Heap {
    private static final MemoryMXBean sMemory = ManagementFactory.getMemoryMXBean();

    /** The second collection takes what the first one only made ready to go. */
    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Returns the bytes that a state keeps, all that it alone leads to included. */
    static long bytesOf(Supplier<?> state) {
        // The first one also loads classes and fills caches, which are not part of the state.
        state.get();
        long before = used();
        Object kept = state.get();
        long after = used();
        Reference.reachabilityFence(kept);
        return after - before;
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return sMemory.getHeapMemoryUsage().getUsed();
    }
}
