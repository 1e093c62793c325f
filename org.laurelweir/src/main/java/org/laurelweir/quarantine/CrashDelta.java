package org.laurelweir.quarantine;

import java.util.List;

/**
 * Records that changed in a {@link CrashTable}.
 *
 * @param version the version of the table that a reader's copy reaches with these records
 * @param records the current state of each changed record
 */
public record CrashDelta(long version, List<CrashRecord> records) {
    /** A delta without records, for a reader without a copy. */
    public static final CrashDelta NONE = new CrashDelta(0, List.of());

    /** Creates a delta with an immutable copy of the list. */
    public CrashDelta {
        records = List.copyOf(records);
    }
}
