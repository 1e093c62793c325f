/** Engines, what is known of them and how late, and the loop of events in virtual time. */
package org.laurelweir.benchmarks.measure.fleet;
