/** Tables, JSON and plots of what was measured. */
package org.laurelweir.benchmarks.measure.report;
