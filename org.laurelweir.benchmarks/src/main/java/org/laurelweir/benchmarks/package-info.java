/** JMH benchmarks of the decisions: time and bytes allocated per step. */
package org.laurelweir.benchmarks;
