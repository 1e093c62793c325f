package org.laurelweir.benchmarks.steps;

/**
 * What one call costs.
 *
 * @param nanos processor time, in nanoseconds
 * @param bytes allocated on the heap
 */
record Cost(double nanos, double bytes) {}
