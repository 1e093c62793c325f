/**
 * Measures the cost of the reducers at several sizes of their state: CPU time and allocated bytes
 * of each step, heap size of the state, and encoded sizes of messages.
 *
 * <p>CPU time and allocation are those of one thread. Unlike wall-clock time, they depend little on
 * other processes of the machine.
 */
package org.laurelweir.benchmarks.steps;
