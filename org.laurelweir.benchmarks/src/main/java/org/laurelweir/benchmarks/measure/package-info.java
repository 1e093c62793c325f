/**
 * The measure program: drives the placement decisions with generated arrivals in virtual time and
 * compares policies on the same arrivals. It models engines and what routers know, not a network.
 */
package org.laurelweir.benchmarks.measure;
