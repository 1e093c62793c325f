/**
 * What the reducers cost: processor time and allocated bytes of each step, heap of the state, and
 * encoded sizes of the messages, each at several sizes.
 *
 * <p>The figures are processor time and allocation of one thread, not time on the clock, so that
 * other processes on the machine change them little.
 */
package org.laurelweir.benchmarks.steps;
