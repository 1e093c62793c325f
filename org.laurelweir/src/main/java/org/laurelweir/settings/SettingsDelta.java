package org.laurelweir.settings;

import java.util.List;

/**
 * The changes that bring a reader up to date.
 *
 * @param position the reader's position after it has applied the delta
 * @param full whether the nodes are the whole tree; if false, they are the nodes that changed after
 *     the reader's position
 * @param nodes the nodes; includes tombstones of deleted nodes if {@code full} is false
 */
public record SettingsDelta(long position, boolean full, List<SettingsNode> nodes) {
    /** Copies the list. */
    public SettingsDelta {
        nodes = List.copyOf(nodes);
    }

    /** Returns whether the delta contains no changes. */
    public boolean isEmpty() {
        return !full && nodes.isEmpty();
    }
}
