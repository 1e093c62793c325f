/** Helper programs of bin/measure-path, beside the programs that it measures. */
package org.laurelweir.benchmarks.whole;
