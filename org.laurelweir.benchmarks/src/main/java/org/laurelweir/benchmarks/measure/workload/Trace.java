package org.laurelweir.benchmarks.measure.workload;

import java.util.List;

/**
 * Everything that callers do in one run.
 *
 * @param earlier the last turn before the run of each chat that may return, the oldest first
 * @param turns the arrivals in order of time
 */
public record Trace(List<Turn> earlier, List<Turn> turns) {}
