package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The settings in force at one position of the replicated log. Immutable; successive trees share
 * their unchanged parts.
 */
public final class SettingsTree {
    /** The tree before any change. */
    public static final SettingsTree EMPTY =
            new SettingsTree(
                    0,
                    PersistentMap.empty(),
                    PersistentMap.empty(),
                    PersistentMap.empty(),
                    PersistentMap.empty(),
                    List.of(),
                    0);

    private final long mPosition;
    private final PersistentMap<SettingsNode> mNodes;

    /** The node that owns each unique key of {@link NodeReferences}. */
    private final PersistentMap<NodePath> mOwnersByUniqueKey;

    /** The number of other nodes that reference a definition, by the definition's path. */
    private final PersistentMap<Integer> mReferenceCounts;

    /** The rules below each node, sorted by name, by the path without the rule. */
    private final PersistentMap<List<NodePath>> mRulesByParent;

    /** The names of the services, sorted. */
    private final List<String> mServices;

    private final long mBytes;

    private SettingsTree(
            long position,
            PersistentMap<SettingsNode> nodes,
            PersistentMap<NodePath> ownersByUniqueKey,
            PersistentMap<Integer> referenceCounts,
            PersistentMap<List<NodePath>> rulesByParent,
            List<String> services,
            long bytes) {
        mPosition = position;
        mNodes = nodes;
        mOwnersByUniqueKey = ownersByUniqueKey;
        mReferenceCounts = referenceCounts;
        mRulesByParent = rulesByParent;
        mServices = services;
        mBytes = bytes;
    }

    /**
     * Builds a tree.
     *
     * @param position the log position at which it is in force
     * @param nodes every node
     */
    public static SettingsTree of(long position, Collection<SettingsNode> nodes) {
        return EMPTY.with(position, nodes);
    }

    /** Returns the log position of the last change; 0 before any. */
    public long position() {
        return mPosition;
    }

    /** Returns the number of nodes. */
    public int size() {
        return mNodes.size();
    }

    /** Returns the tree's estimated size in bytes, which is the same on every replica. */
    long estimatedBytes() {
        return mBytes;
    }

    /** Returns the node at a path, or empty if there is none. */
    public Optional<SettingsNode> node(NodePath path) {
        return Optional.ofNullable(mNodes.get(path.toString()));
    }

    /** Returns whether there is a node at a path, given as text. */
    boolean hasNode(String path) {
        return mNodes.get(path) != null;
    }

    /** Returns whether there is a node with exactly these values at a path, given as text. */
    boolean hasNodeWithValues(String path, Map<String, String> values) {
        SettingsNode node = mNodes.get(path);
        return node != null && node.values().equals(values);
    }

    /** Returns the nodes whose paths are not in a set of path texts, sorted by path. */
    List<SettingsNode> nodesOutside(Set<String> paths) {
        SortedMap<String, SettingsNode> outside = new TreeMap<>();
        mNodes.forEach(
                (path, node) -> {
                    if (!paths.contains(path)) {
                        outside.put(path, node);
                    }
                });
        return new ArrayList<>(outside.values());
    }

    /** Returns every node, sorted by path. */
    public List<SettingsNode> nodes() {
        // Sorts by the map's keys, since NodePath builds its text for each comparison.
        SortedMap<String, SettingsNode> byPath = new TreeMap<>();
        mNodes.forEach(byPath::put);
        return new ArrayList<>(byPath.values());
    }

    /**
     * Returns the tree after a change, which is not validated.
     *
     * @param position the log position at which the tree is in force
     * @param changed the changed nodes in their new state; tombstones remove nodes
     */
    public SettingsTree with(long position, Collection<SettingsNode> changed) {
        Editor editor = new Editor(this);
        // Removes all old unique keys first, since a change may move a model between services.
        changed.forEach(n -> editor.remove(n.path()));
        changed.stream().filter(n -> !n.deleted()).forEach(editor::add);
        return editor.toTree(position);
    }

    /** Returns the client account that has the bearer key with this digest. */
    public Optional<String> accountOfKey(String digest) {
        return ownerOf(NodeReferences.digestKey(digest)).map(NodePath::account);
    }

    /** Returns the service that serves a model. */
    public Optional<String> serviceOfModel(String model) {
        return ownerOf(NodeReferences.modelKey(model)).map(NodePath::service);
    }

    /** Returns the plain service with the longest path prefix that matches a URL's path. */
    public Optional<String> serviceOfPath(String path) {
        String prefix = path;
        while (prefix.startsWith("/")) {
            Optional<NodePath> owner = ownerOf(NodeReferences.pathPrefixKey(prefix));
            if (owner.isPresent()) {
                return owner.map(NodePath::service);
            }
            prefix = prefix.substring(0, prefix.lastIndexOf('/'));
        }
        return Optional.empty();
    }

    /** Returns the node of the route with exactly this host and path prefix. */
    public Optional<SettingsNode> routeAt(String host, String prefix) {
        return ownerOf(NodeReferences.routeKey(host, prefix)).flatMap(this::node);
    }

    /** Returns every service's name, sorted. */
    public List<String> services() {
        return mServices;
    }

    /** Returns the effective settings of a context. */
    public EffectiveSettings effective(SettingsContext context) {
        return EffectiveSettings.of(this, context);
    }

    Optional<NodePath> ownerOf(String uniqueKey) {
        return Optional.ofNullable(mOwnersByUniqueKey.get(uniqueKey));
    }

    /**
     * Returns the number of other nodes that name the service or client account of a definition.
     */
    int referenceCount(NodePath definition) {
        Integer count = mReferenceCounts.get(definition.toString());
        return count == null ? 0 : count;
    }

    List<NodePath> rulesBelow(NodePath path) {
        List<NodePath> rules = mRulesByParent.get(path.toString());
        return rules == null ? List.of() : rules;
    }

    /** Builds the successor of a tree, one node at a time. */
    private static final class Editor {
        private PersistentMap<SettingsNode> mNewNodes;
        private PersistentMap<NodePath> mNewOwnersByUniqueKey;
        private PersistentMap<Integer> mNewReferenceCounts;
        private PersistentMap<List<NodePath>> mNewRulesByParent;
        private final SortedSet<String> mNewServices;
        private long mNewBytes;

        Editor(SettingsTree tree) {
            mNewNodes = tree.mNodes;
            mNewOwnersByUniqueKey = tree.mOwnersByUniqueKey;
            mNewReferenceCounts = tree.mReferenceCounts;
            mNewRulesByParent = tree.mRulesByParent;
            mNewServices = new TreeSet<>(tree.mServices);
            mNewBytes = tree.mBytes;
        }

        void remove(NodePath path) {
            SettingsNode old = mNewNodes.get(path.toString());
            if (old == null) {
                return;
            }
            mNewNodes = mNewNodes.with(path.toString(), null);
            mNewBytes -= old.estimatedBytes();
            NodeReferences.uniqueKeysOf(old)
                    .forEach(k -> mNewOwnersByUniqueKey = mNewOwnersByUniqueKey.with(k, null));
            adjustReferenceCounts(old, -1);
            if (path.isOnly(Level.SERVICE)) {
                mNewServices.remove(path.service());
            }
            if (path.rule() != null) {
                List<NodePath> rules = new ArrayList<>(rules(path));
                rules.remove(path);
                setRules(path, rules);
            }
        }

        void add(SettingsNode node) {
            NodePath path = node.path();
            mNewNodes = mNewNodes.with(path.toString(), node);
            mNewBytes += node.estimatedBytes();
            NodeReferences.uniqueKeysOf(node)
                    .forEach(k -> mNewOwnersByUniqueKey = mNewOwnersByUniqueKey.with(k, path));
            adjustReferenceCounts(node, 1);
            if (path.isOnly(Level.SERVICE)) {
                mNewServices.add(path.service());
            }
            if (path.rule() != null) {
                List<NodePath> rules = new ArrayList<>(rules(path));
                rules.add(path);
                rules.sort(Comparator.comparing(NodePath::rule));
                setRules(path, rules);
            }
        }

        private void adjustReferenceCounts(SettingsNode node, int change) {
            for (NodePath definition : NodeReferences.referencedDefinitions(node)) {
                String key = definition.toString();
                Integer before = mNewReferenceCounts.get(key);
                int after = (before == null ? 0 : before) + change;
                mNewReferenceCounts = mNewReferenceCounts.with(key, after == 0 ? null : after);
            }
        }

        private List<NodePath> rules(NodePath rule) {
            List<NodePath> rules = mNewRulesByParent.get(rule.withoutRule().toString());
            return rules == null ? List.of() : rules;
        }

        private void setRules(NodePath rule, List<NodePath> rules) {
            List<NodePath> value = rules.isEmpty() ? null : List.copyOf(rules);
            mNewRulesByParent = mNewRulesByParent.with(rule.withoutRule().toString(), value);
        }

        SettingsTree toTree(long position) {
            return new SettingsTree(
                    position,
                    mNewNodes,
                    mNewOwnersByUniqueKey,
                    mNewReferenceCounts,
                    mNewRulesByParent,
                    List.copyOf(mNewServices),
                    mNewBytes);
        }
    }
}
