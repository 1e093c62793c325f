package org.laurelweir.settings;

import java.time.Instant;

/**
 * The first answer to a change, which is returned if the change is sent again.
 *
 * @param changeId the change's ID
 * @param timestamp the time at which the leader received the change
 * @param digest the digest of the requested changes, which detects another change with the same ID
 * @param answer the answer
 */
public record RecordedAnswer(
        String changeId, Instant timestamp, String digest, SettingsAnswer answer) {
    /** Returns the answer's estimated size in bytes, which is the same on every replica. */
    long estimatedBytes() {
        long bytes = SettingsNode.OVERHEAD_BYTES;
        for (SettingsNode n : answer.nodes()) {
            bytes += n.estimatedBytes();
        }
        return bytes + (long) SettingsNode.OVERHEAD_BYTES * answer.faults().size();
    }
}
