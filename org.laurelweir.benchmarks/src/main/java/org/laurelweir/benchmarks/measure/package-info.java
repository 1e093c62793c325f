/**
 * The measure program: runs placement policies on the same generated arrivals in virtual time and
 * compares them. It models engines and the views of routers and sidecars, but no network.
 */
package org.laurelweir.benchmarks.measure;
