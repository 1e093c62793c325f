package org.laurelweir.settings;

import java.util.List;
import org.laurelweir.lib.ResultCode;

/**
 * The answer to a change of settings.
 *
 * @param code OK, SETTINGS_CONFLICT, SETTINGS_INVALID or CHANGE_ID_REUSED
 * @param position the position of the tree in force after the change
 * @param nodes after OK the changed nodes in their new state; after SETTINGS_CONFLICT the current
 *     state of the nodes that are not at the expected version
 * @param faults after SETTINGS_INVALID all faults
 */
public record SettingsAnswer(
        ResultCode code, long position, List<SettingsNode> nodes, List<NodeFault> faults) {
    /** Copies the lists. */
    public SettingsAnswer {
        nodes = List.copyOf(nodes);
        faults = List.copyOf(faults);
    }
}
