/** The policies compared: the baselines, the all-knowing one and the one in use. */
package org.laurelweir.benchmarks.measure.policy;
