package org.laurelweir.settings;

import java.time.Instant;

/**
 * The first answer to a change, kept for those who send it again.
 *
 * @param changeId the change's id
 * @param at when the leader took the change
 * @param digest of what the change asked for, to know another change under the same id
 * @param answer the answer
 */
public record RecordedAnswer(String changeId, Instant at, String digest, SettingsAnswer answer) {
    /** Returns what the answer takes, about: the same on every replica. */
    long bytes() {
        long bytes = SettingsNode.FIXED_BYTES;
        for (SettingsNode n : answer.nodes()) {
            bytes += n.bytes();
        }
        return bytes + (long) SettingsNode.FIXED_BYTES * answer.faults().size();
    }
}
