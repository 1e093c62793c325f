package org.laurelweir.quarantine;

import java.util.List;

/**
 * What one process tells another of its {@link CrashTable} as it asks for the other's.
 *
 * @param seen how far the asker's copy of the other's table reaches, 0 if it has nothing
 * @param records what changed in the asker's own since it told last
 */
public record CrashReport(long seen, List<CrashRecord> records) {
    /** Nothing, of a process that has nothing. */
    public static final CrashReport NONE = new CrashReport(0, List.of());

    /** Copies the list. */
    public CrashReport {
        records = List.copyOf(records);
    }
}
