/** Writes the measurements as tables, JSON and plots. */
package org.laurelweir.benchmarks.measure.report;
