package org.laurelweir.benchmarks.steps;

/**
 * The cost of one call.
 *
 * @param nanos CPU time in nanoseconds
 * @param bytes bytes allocated on the heap
 */
record Cost(double nanos, double bytes) {}
