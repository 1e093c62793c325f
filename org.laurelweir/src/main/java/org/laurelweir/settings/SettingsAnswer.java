package org.laurelweir.settings;

import java.util.List;
import org.laurelweir.lib.ResultCode;

/**
 * The answer to a change of settings.
 *
 * @param code OK, SETTINGS_CONFLICT, SETTINGS_INVALID or CHANGE_ID_REUSED
 * @param position the position of the tree in force after the change
 * @param nodes after OK the changed nodes as they stand now; after a conflict the nodes whose
 *     version was not the expected one, as the winner left them
 * @param faults after SETTINGS_INVALID everything wrong
 */
public record SettingsAnswer(
        ResultCode code, long position, List<SettingsNode> nodes, List<NodeFault> faults) {
    /** Copies the lists. */
    public SettingsAnswer {
        nodes = List.copyOf(nodes);
        faults = List.copyOf(faults);
    }
}
