/** Ranking methods that are compared with the one in use. */
package org.laurelweir.benchmarks.ranking;
