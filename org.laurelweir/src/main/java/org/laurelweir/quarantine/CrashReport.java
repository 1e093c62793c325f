package org.laurelweir.quarantine;

import java.util.List;

/**
 * The crash records that a process sends in a request to another process, together with the state
 * of its copy of that process's {@link CrashTable}.
 *
 * @param seen the version of the other process's table that the copy reaches, 0 without a copy
 * @param records the sender's own records that have changed since its last report
 */
public record CrashReport(long seen, List<CrashRecord> records) {
    /** A report without records, of a process without a copy. */
    public static final CrashReport NONE = new CrashReport(0, List.of());

    /** Creates a report with an immutable copy of the list. */
    public CrashReport {
        records = List.copyOf(records);
    }
}
