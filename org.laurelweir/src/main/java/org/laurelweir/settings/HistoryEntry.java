package org.laurelweir.settings;

import java.time.Instant;
import java.util.List;
import org.laurelweir.coordination.Command;

/**
 * One accepted change.
 *
 * @param position where in the log it stands
 * @param at when the leader took it
 * @param changeId the id that its author gave it
 * @param author who made it
 * @param changes what it asked for
 * @param before the changed nodes as they stood before; a node that did not exist is marked as gone
 */
public record HistoryEntry(
        long position,
        Instant at,
        String changeId,
        String author,
        List<Command.NodeChange> changes,
        List<SettingsNode> before) {
    /** Copies the lists. */
    public HistoryEntry {
        changes = List.copyOf(changes);
        before = List.copyOf(before);
    }

    /** Returns what the entry takes, about: the same on every replica. */
    long bytes() {
        long bytes = SettingsNode.FIXED_BYTES;
        for (Command.NodeChange c : changes) {
            bytes += SettingsNode.bytesOf(c.path(), c.set());
        }
        for (SettingsNode n : before) {
            bytes += n.bytes();
        }
        return bytes;
    }

    boolean touches(NodePath path) {
        return before.stream().anyMatch(n -> n.path().equals(path));
    }
}
