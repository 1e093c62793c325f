package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.coordination.Command.NodeChange;

/** Checks nodes before they are sent to control, with the same code that control uses. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Returns what is wrong with nodes that are to join a tree which is not at hand: paths, keys
     * and values.
     *
     * @param nodes the nodes, as changes that expect version 0
     */
    public static List<NodeFault> nodeFaults(List<NodeChange> nodes) {
        return ChangePlan.of(SettingsTree.EMPTY, 1, nodes).faults();
    }

    /**
     * Returns what is wrong with a whole tree, the references between its nodes included.
     *
     * @param nodes the nodes, as changes that expect version 0
     */
    public static List<NodeFault> treeFaults(List<NodeChange> nodes) {
        ChangePlan plan = ChangePlan.of(SettingsTree.EMPTY, 1, nodes);
        SettingsTree tree = SettingsTree.of(1, plan.after());
        List<NodeFault> faults = new ArrayList<>(plan.faults());
        faults.addAll(ReferenceCheck.faultsOf(SettingsTree.EMPTY, tree, plan.after()));
        return faults;
    }
}
