package org.laurelweir.quarantine;

import java.util.List;

/**
 * Records that changed in a {@link CrashTable}.
 *
 * @param version how far a reader's copy of the table reaches once it has taken them
 * @param records the newest state of each
 */
public record CrashDelta(long version, List<CrashRecord> records) {
    /** Nothing, for a reader that has nothing. */
    public static final CrashDelta NONE = new CrashDelta(0, List.of());

    /** Copies the list. */
    public CrashDelta {
        records = List.copyOf(records);
    }
}
