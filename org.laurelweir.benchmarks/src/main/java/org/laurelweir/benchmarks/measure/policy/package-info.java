/**
 * The placement policies that the measure program compares: baselines, an oracle that sees the true
 * state of the fleet, and the policy in use.
 */
package org.laurelweir.benchmarks.measure.policy;
