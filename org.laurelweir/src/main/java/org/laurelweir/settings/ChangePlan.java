package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.laurelweir.coordination.Command.NodeChange;

/** The effect of a change on a tree: the changed nodes, the version conflicts and the faults. */
final class ChangePlan {
    private static final int MAX_CHANGED_NODES = 1000;

    /** Allows a tree of the target size: 19,000 client accounts, their rules and the routes. */
    private static final int MAX_TREE_NODES = 100_000;

    private static final int MAX_VALUE_CHARS = 16_384;

    private final SettingsTree mTree;
    private final long mPosition;
    private final List<SettingsNode> mBefore = new ArrayList<>();
    private final List<SettingsNode> mAfter = new ArrayList<>();
    private final List<SettingsNode> mConflicts = new ArrayList<>();
    private final List<NodeFault> mFaults = new ArrayList<>();

    private ChangePlan(SettingsTree tree, long position) {
        mTree = tree;
        mPosition = position;
    }

    static ChangePlan of(SettingsTree tree, long position, List<NodeChange> changes) {
        ChangePlan plan = new ChangePlan(tree, position);
        plan.checkSize(changes.size(), MAX_CHANGED_NODES);
        plan.addAll(changes);
        return plan;
    }

    /**
     * Plans the new and changed nodes of a whole tree. The nodes in force are not considered.
     *
     * @param position the log position of the change
     * @param size the number of nodes of the whole tree
     * @param changes the new and changed nodes
     */
    static ChangePlan ofWholeTree(long position, int size, List<NodeChange> changes) {
        ChangePlan plan = new ChangePlan(SettingsTree.EMPTY, position);
        plan.checkSize(size, MAX_TREE_NODES);
        plan.addAll(changes);
        return plan;
    }

    private void checkSize(int size, int max) {
        if (size == 0 || size > max) {
            String problem = "names " + size + " nodes";
            mFaults.add(new NodeFault("change", "", problem, "1 to " + max + " nodes"));
        }
    }

    private void addAll(List<NodeChange> changes) {
        Set<NodePath> seen = new HashSet<>();
        for (NodeChange c : changes) {
            parse(c).ifPresent(p -> add(p, c, seen));
        }
    }

    private Optional<NodePath> parse(NodeChange c) {
        try {
            return Optional.of(NodePath.parse(c.path()));
        } catch (IllegalArgumentException e) {
            mFaults.add(new NodeFault(c.path(), "", "is not a path", NodePath.FORM));
            return Optional.empty();
        }
    }

    private void add(NodePath path, NodeChange c, Set<NodePath> seen) {
        if (!seen.add(path)) {
            addFault(path, "", "stands twice in the change", "each node once");
            return;
        }
        SettingsNode before = mTree.node(path).orElse(SettingsNode.tombstone(path, 0));
        if (before.version() != c.expectedVersion()) {
            mConflicts.add(before);
            return;
        }
        mBefore.add(before);
        mAfter.add(c.delete() ? deleted(before, c) : edited(before, c));
    }

    private SettingsNode deleted(SettingsNode before, NodeChange c) {
        if (before.deleted()) {
            addFault(before.path(), "", "does not exist", "a node that exists");
        }
        if (!c.set().isEmpty() || !c.remove().isEmpty()) {
            addFault(before.path(), "", "is deleted and edited at once", "one of the two");
        }
        return SettingsNode.tombstone(before.path(), mPosition);
    }

    private SettingsNode edited(SettingsNode before, NodeChange c) {
        Map<String, String> values = new TreeMap<>(before.values());
        for (String key : c.remove()) {
            if (values.remove(key) == null) {
                String set = String.join(", ", new TreeSet<>(before.values().keySet()));
                addFault(before.path(), key, "is not set here", set);
            }
        }
        new TreeMap<>(c.set())
                .forEach(
                        (key, text) -> {
                            checkValue(before.path(), key, text);
                            if (c.remove().contains(key)) {
                                addFault(
                                        before.path(), key, "is set and removed", "one of the two");
                            }
                            values.put(key, text);
                        });
        return SettingsNode.of(before.path(), mPosition, values);
    }

    private void checkValue(NodePath path, String name, String text) {
        Optional<SettingKey<?>> found = SettingKeys.find(name);
        if (found.isEmpty()) {
            addFault(path, name, "unknown key", "a key of docs/SETTINGS.md");
            return;
        }
        SettingKey<?> key = found.get();
        if (!key.isAllowedIn(path)) {
            addFault(path, name, "does not belong to this level", key.allowedNodes());
        }
        if (text.length() > MAX_VALUE_CHARS) {
            addFault(path, name, "is too long", "up to " + MAX_VALUE_CHARS + " characters");
            return;
        }
        try {
            key.parse(text);
        } catch (IllegalArgumentException e) {
            addFault(path, name, "is \"" + text + "\"", key.allowed());
        }
    }

    private void addFault(NodePath path, String key, String problem, String allowed) {
        mFaults.add(new NodeFault(path.toString(), key, problem, allowed));
    }

    /** Returns the changed nodes in their previous state; a tombstone for one that is new. */
    List<SettingsNode> before() {
        return mBefore;
    }

    /** Returns the changed nodes in their new state; a tombstone for one that is deleted. */
    List<SettingsNode> after() {
        return mAfter;
    }

    /** Returns the current state of the nodes that are not at the expected version. */
    List<SettingsNode> conflicts() {
        return mConflicts;
    }

    /** Returns the faults of single nodes; references between nodes are not checked. */
    List<NodeFault> faults() {
        return mFaults;
    }
}
