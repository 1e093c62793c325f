/** Generates arrivals: returning chats, dossiers (long openings), client accounts and surges. */
package org.laurelweir.benchmarks.measure.workload;
