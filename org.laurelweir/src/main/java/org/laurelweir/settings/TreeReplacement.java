package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.laurelweir.coordination.Command.NodeChange;

/**
 * The effect of replacing the whole tree, node by node. Unchanged nodes keep their version, so that
 * readers receive only the changed ones.
 */
final class TreeReplacement {
    private final long mPosition;
    private final List<SettingsNode> mBefore = new ArrayList<>();
    private final List<SettingsNode> mAfter = new ArrayList<>();
    private final List<NodeChange> mChanges = new ArrayList<>();
    private final List<NodeFault> mFaults;

    private TreeReplacement(long position, List<NodeFault> faults) {
        mPosition = position;
        mFaults = new ArrayList<>(faults);
    }

    /**
     * Computes a replacement. Only the changed nodes and their references are validated, as the
     * unchanged nodes are valid already. This saves time when a control instance starts, which has
     * to apply every replacement since the last snapshot before it can serve.
     *
     * @param current the tree in force
     * @param position the log position at which the new tree will be in force
     * @param patch the differences between the new tree and the one in force
     */
    static TreeReplacement of(SettingsTree current, long position, TreePatch patch) {
        List<NodeChange> nodeChanges = new ArrayList<>();
        int size = current.size() - patch.removed().size();
        for (Map.Entry<String, Map<String, String>> e : patch.changed().entrySet()) {
            nodeChanges.add(new NodeChange(e.getKey(), 0, e.getValue(), List.of(), false));
            size += current.hasNode(e.getKey()) ? 0 : 1;
        }
        ChangePlan plan = ChangePlan.ofWholeTree(position, size, nodeChanges);
        TreeReplacement replacement = new TreeReplacement(position, plan.faults());
        if (replacement.mFaults.isEmpty()) {
            plan.after().forEach(n -> replacement.edit(current.node(n.path()).orElse(null), n));
            patch.removed().stream()
                    .flatMap(path -> current.node(NodePath.parse(path)).stream())
                    .forEach(replacement::delete);
            replacement.checkTree(current);
        }
        return replacement;
    }

    private void checkTree(SettingsTree current) {
        SettingsTree after = current.with(mPosition, mAfter);
        mFaults.addAll(ReferenceCheck.faultsOf(current, after, mAfter));
        mFaults.addAll(TreeSizeLimit.faultsOf(current, after));
    }

    private void edit(SettingsNode before, SettingsNode after) {
        SettingsNode old = before == null ? SettingsNode.tombstone(after.path(), 0) : before;
        List<String> removed = new ArrayList<>(old.values().keySet());
        removed.removeAll(after.values().keySet());
        String path = after.path().toString();
        mBefore.add(old);
        mAfter.add(after);
        mChanges.add(new NodeChange(path, old.version(), after.values(), removed, false));
    }

    private void delete(SettingsNode old) {
        mBefore.add(old);
        mAfter.add(SettingsNode.tombstone(old.path(), mPosition));
        mChanges.add(
                new NodeChange(old.path().toString(), old.version(), Map.of(), List.of(), true));
    }

    /** Returns the changed nodes in their previous state; a tombstone for one that is new. */
    List<SettingsNode> before() {
        return mBefore;
    }

    /** Returns the changed nodes in their new state; a tombstone for one that is deleted. */
    List<SettingsNode> after() {
        return mAfter;
    }

    /** Returns the changes, for the history. */
    List<NodeChange> changes() {
        return mChanges;
    }

    /** Returns all faults; if there are any, the replacement must not be applied. */
    List<NodeFault> faults() {
        return mFaults;
    }
}
