/** What bin/measure-path needs beside the programs that it measures. */
package org.laurelweir.benchmarks.whole;
