package org.laurelweir.settings;

import java.time.Instant;
import java.util.List;
import org.laurelweir.coordination.Command;

/**
 * An accepted change.
 *
 * @param position its log position
 * @param timestamp the time at which the leader received it
 * @param changeId the ID that its author chose
 * @param author the author's name
 * @param changes the requested changes of nodes
 * @param before the changed nodes in their previous state; a tombstone for a node that did not
 *     exist
 */
public record HistoryEntry(
        long position,
        Instant timestamp,
        String changeId,
        String author,
        List<Command.NodeChange> changes,
        List<SettingsNode> before) {
    /** Copies the lists. */
    public HistoryEntry {
        changes = List.copyOf(changes);
        before = List.copyOf(before);
    }

    /** Returns the entry's estimated size in bytes, which is the same on every replica. */
    long estimatedBytes() {
        long bytes = SettingsNode.OVERHEAD_BYTES;
        for (Command.NodeChange c : changes) {
            bytes += SettingsNode.estimateBytes(c.path(), c.set());
        }
        for (SettingsNode n : before) {
            bytes += n.estimatedBytes();
        }
        return bytes;
    }

    boolean changesNode(NodePath path) {
        return before.stream().anyMatch(n -> n.path().equals(path));
    }
}
