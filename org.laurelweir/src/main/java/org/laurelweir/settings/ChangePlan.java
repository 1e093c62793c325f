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

/** What a change would do to a tree, node by node: new nodes, lost races and faults. */
final class ChangePlan {
    private static final int MAX_NODES = 1000;

    /** A whole tree of the aimed size: 19,000 client accounts, their rules and the routes. */
    private static final int MAX_NODES_OF_WHOLE = 100_000;

    private static final int MAX_VALUE_LENGTH = 16_384;

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
        plan.checkSize(changes.size(), MAX_NODES);
        plan.addAll(changes);
        return plan;
    }

    /**
     * Plans the nodes that a whole tree has new or with other values, without regard to those that
     * are in force.
     *
     * @param size how many nodes the whole tree has
     */
    static ChangePlan ofWhole(long position, int size, List<NodeChange> changes) {
        ChangePlan plan = new ChangePlan(SettingsTree.EMPTY, position);
        plan.checkSize(size, MAX_NODES_OF_WHOLE);
        plan.addAll(changes);
        return plan;
    }

    private void checkSize(int size, int most) {
        if (size == 0 || size > most) {
            String problem = "names " + size + " nodes";
            mFaults.add(new NodeFault("change", "", problem, "1 to " + most + " nodes"));
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
            fault(path, "", "stands twice in the change", "each node once");
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
            fault(before.path(), "", "does not exist", "a node that exists");
        }
        if (!c.set().isEmpty() || !c.remove().isEmpty()) {
            fault(before.path(), "", "is deleted and edited at once", "one of the two");
        }
        return SettingsNode.tombstone(before.path(), mPosition);
    }

    private SettingsNode edited(SettingsNode before, NodeChange c) {
        Map<String, String> values = new TreeMap<>(before.values());
        for (String key : c.remove()) {
            if (values.remove(key) == null) {
                String set = String.join(", ", new TreeSet<>(before.values().keySet()));
                fault(before.path(), key, "is not set here", set);
            }
        }
        new TreeMap<>(c.set())
                .forEach(
                        (key, text) -> {
                            checkValue(before.path(), key, text);
                            if (c.remove().contains(key)) {
                                fault(before.path(), key, "is set and removed", "one of the two");
                            }
                            values.put(key, text);
                        });
        return SettingsNode.of(before.path(), mPosition, values);
    }

    private void checkValue(NodePath path, String name, String text) {
        Optional<SettingKey<?>> found = SettingKeys.find(name);
        if (found.isEmpty()) {
            fault(path, name, "unknown key", "a key of docs/SETTINGS.md");
            return;
        }
        SettingKey<?> key = found.get();
        if (!key.mayStandIn(path)) {
            fault(path, name, "does not belong to this level", key.allowedPlaces());
        }
        if (text.length() > MAX_VALUE_LENGTH) {
            fault(path, name, "is too long", "up to " + MAX_VALUE_LENGTH + " characters");
            return;
        }
        try {
            key.parse(text);
        } catch (IllegalArgumentException e) {
            fault(path, name, "is \"" + text + "\"", key.allowed());
        }
    }

    private void fault(NodePath path, String key, String problem, String allowed) {
        mFaults.add(new NodeFault(path.toString(), key, problem, allowed));
    }

    /** Returns the changed nodes as they stand before, a missing one marked as gone. */
    List<SettingsNode> before() {
        return mBefore;
    }

    /** Returns the changed nodes as they would stand after, deleted ones marked as gone. */
    List<SettingsNode> after() {
        return mAfter;
    }

    /** Returns the nodes whose version is not the expected one, as they stand. */
    List<SettingsNode> conflicts() {
        return mConflicts;
    }

    /** Returns what is wrong with single nodes. */
    List<NodeFault> faults() {
        return mFaults;
    }
}
