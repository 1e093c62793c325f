package org.laurelweir.settings;

import java.util.List;

/**
 * What a reader lacks.
 *
 * @param position the position that the reader has reached once it has taken this in
 * @param full whether the nodes are the whole tree; else they are those changed since the reader's
 *     position
 * @param nodes the nodes; deleted ones only if not full
 */
public record SettingsDelta(long position, boolean full, List<SettingsNode> nodes) {
    /** Copies the list. */
    public SettingsDelta {
        nodes = List.copyOf(nodes);
    }

    /** Returns whether it brings nothing. */
    public boolean isEmpty() {
        return !full && nodes.isEmpty();
    }
}
