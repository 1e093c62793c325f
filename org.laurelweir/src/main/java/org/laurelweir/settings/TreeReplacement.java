package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.laurelweir.coordination.Command.NodeChange;

/**
 * What replacing the whole tree changes, node by node. Nodes that stay as they are keep their
 * version, so that readers are told of the others only.
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
     * Works out a replacement. Nodes that stay as they are were valid when they came, so that only
     * the others are checked, and what they do to the references between nodes: a control instance
     * that starts has every replacement since the last snapshot to apply before it can serve.
     *
     * @param now the tree in force
     * @param position where the new tree will be in force
     * @param difference what the new tree has other than the one in force
     */
    static TreeReplacement of(SettingsTree now, long position, TreePatch difference) {
        List<NodeChange> wanted = new ArrayList<>();
        int size = now.size() - difference.removed().size();
        for (Map.Entry<String, Map<String, String>> e : difference.changed().entrySet()) {
            wanted.add(new NodeChange(e.getKey(), 0, e.getValue(), List.of(), false));
            size += now.has(e.getKey()) ? 0 : 1;
        }
        ChangePlan plan = ChangePlan.ofWhole(position, size, wanted);
        TreeReplacement replacement = new TreeReplacement(position, plan.faults());
        if (replacement.mFaults.isEmpty()) {
            plan.after().forEach(n -> replacement.edit(now.node(n.path()).orElse(null), n));
            difference.removed().stream()
                    .flatMap(path -> now.node(NodePath.parse(path)).stream())
                    .forEach(replacement::delete);
            replacement.checkWhole(now);
        }
        return replacement;
    }

    private void checkWhole(SettingsTree now) {
        SettingsTree after = now.with(mPosition, mAfter);
        mFaults.addAll(ReferenceCheck.faultsOf(now, after, mAfter));
        mFaults.addAll(TreeSizeLimit.faultsOf(now, after));
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

    /** Returns the changed nodes as they stand before, a missing one marked as gone. */
    List<SettingsNode> before() {
        return mBefore;
    }

    /** Returns the changed nodes as they stand after, deleted ones marked as gone. */
    List<SettingsNode> after() {
        return mAfter;
    }

    /** Returns the changes, for the history. */
    List<NodeChange> changes() {
        return mChanges;
    }

    /** Returns everything wrong; if there is anything, nothing is changed. */
    List<NodeFault> faults() {
        return mFaults;
    }
}
