/** Generated arrivals: chats that return, dossiers, client accounts and surges. */
package org.laurelweir.benchmarks.measure.workload;
