/** Compares ways to hedge slow requests in a small model of one service. */
package org.laurelweir.benchmarks.hedging;
