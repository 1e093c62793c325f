package org.laurelweir.benchmarks.measure.workload;

import java.util.List;

/**
 * The requests of all callers in one run.
 *
 * @param precedingTurns the last turn before the run of each chat that may return, oldest first
 * @param turns the arrivals in order of time
 */
public record Trace(List<Turn> precedingTurns, List<Turn> turns) {}
