/**
 * The simulated fleet: engines, the delayed views that routers and sidecars have of them, and the
 * event loop in virtual time.
 */
package org.laurelweir.benchmarks.measure.fleet;
