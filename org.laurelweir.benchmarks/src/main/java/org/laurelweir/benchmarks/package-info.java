/** JMH benchmarks of placement decisions: time and allocated bytes per decision. */
package org.laurelweir.benchmarks;
