package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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
        mFaults = faults;
    }

    /**
     * Works out a replacement.
     *
     * @param now the tree in force
     * @param position where the new tree will be in force
     * @param nodes the values of every node by its path
     */
    static TreeReplacement of(
            SettingsTree now, long position, Map<String, Map<String, String>> nodes) {
        List<NodeChange> created = new ArrayList<>();
        new TreeMap<>(nodes)
                .forEach((p, v) -> created.add(new NodeChange(p, 0, v, List.of(), false)));
        ChangePlan plan = ChangePlan.ofWhole(position, created);
        List<NodeFault> faults = new ArrayList<>(plan.faults());
        if (faults.isEmpty()) {
            SettingsTree whole = SettingsTree.of(position, plan.after());
            faults.addAll(ReferenceCheck.faultsOf(SettingsTree.EMPTY, whole, plan.after()));
        }
        TreeReplacement replacement = new TreeReplacement(position, faults);
        if (faults.isEmpty()) {
            replacement.compare(now, plan.after());
        }
        return replacement;
    }

    private void compare(SettingsTree now, List<SettingsNode> wanted) {
        Map<NodePath, SettingsNode> left = new TreeMap<>();
        now.nodes().forEach(n -> left.put(n.path(), n));
        for (SettingsNode node : wanted) {
            SettingsNode before = left.remove(node.path());
            if (before == null || !before.values().equals(node.values())) {
                edit(before, node);
            }
        }
        left.values().forEach(this::delete);
    }

    private void edit(SettingsNode before, SettingsNode after) {
        SettingsNode old = before == null ? SettingsNode.gone(after.path(), 0) : before;
        List<String> removed = new ArrayList<>(old.values().keySet());
        removed.removeAll(after.values().keySet());
        String path = after.path().toString();
        mBefore.add(old);
        mAfter.add(after);
        mChanges.add(new NodeChange(path, old.version(), after.values(), removed, false));
    }

    private void delete(SettingsNode old) {
        mBefore.add(old);
        mAfter.add(SettingsNode.gone(old.path(), mPosition));
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
