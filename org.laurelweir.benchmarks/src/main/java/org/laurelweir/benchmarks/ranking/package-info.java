/** The ways of ranking backend servers that were weighed against the one in use. */
package org.laurelweir.benchmarks.ranking;
