package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.coordination.Command.NodeChange;

/** Validates nodes before they are sent to a control instance, with the same checks as there. */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Returns the faults in the paths, keys and values of nodes. References to other nodes are not
     * checked, as the tree to which the nodes will be added is not available.
     *
     * @param nodes the nodes, as changes that expect version 0
     */
    public static List<NodeFault> nodeFaults(List<NodeChange> nodes) {
        return ChangePlan.of(SettingsTree.EMPTY, 1, nodes).faults();
    }

    /**
     * Returns the faults of a whole tree, including those in the references between its nodes.
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
