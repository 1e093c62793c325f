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
 * The settings in force at one position of the replicated log. Immutable; a successor shares with
 * it all that did not change.
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

    /** Which node holds a claim of {@link NodeReferences}. */
    private final PersistentMap<NodePath> mClaims;

    /** How many other nodes name a definition, by the definition's path. */
    private final PersistentMap<Integer> mUses;

    /** The rules below a node, by name, by the path without the rule. */
    private final PersistentMap<List<NodePath>> mRules;

    /** The names of the services, sorted. */
    private final List<String> mServices;

    private final long mBytes;

    private SettingsTree(
            long position,
            PersistentMap<SettingsNode> nodes,
            PersistentMap<NodePath> claims,
            PersistentMap<Integer> uses,
            PersistentMap<List<NodePath>> rules,
            List<String> services,
            long bytes) {
        mPosition = position;
        mNodes = nodes;
        mClaims = claims;
        mUses = uses;
        mRules = rules;
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

    /** Returns what all nodes take together, about: the same on every replica. */
    long bytes() {
        return mBytes;
    }

    /** Returns a node, or nothing if there is none at the path. */
    public Optional<SettingsNode> node(NodePath path) {
        return Optional.ofNullable(mNodes.get(path.toString()));
    }

    /** Returns whether there is a node at a path, as text. */
    boolean has(String path) {
        return mNodes.get(path) != null;
    }

    /** Returns whether there is a node at a path, as text, with just these values. */
    boolean holds(String path, Map<String, String> values) {
        SettingsNode node = mNodes.get(path);
        return node != null && node.values().equals(values);
    }

    /** Returns the nodes whose paths, as texts, are not among these; sorted by path. */
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
        // By the map's keys: a path makes its text anew for each comparison.
        SortedMap<String, SettingsNode> byPath = new TreeMap<>();
        mNodes.forEach(byPath::put);
        return new ArrayList<>(byPath.values());
    }

    /**
     * Returns the tree after a change. The caller has checked that it is valid.
     *
     * @param position where the tree is in force
     * @param changed nodes as they stand now; deleted ones are taken out
     */
    public SettingsTree with(long position, Collection<SettingsNode> changed) {
        Editor editor = new Editor(this);
        // All old claims go first: a change may move a model from one service to another.
        changed.forEach(n -> editor.remove(n.path()));
        changed.stream().filter(n -> !n.deleted()).forEach(editor::add);
        return editor.toTree(position);
    }

    /** Returns the client account that a bearer key's digest names. */
    public Optional<String> accountOfKey(String digest) {
        return holderOf(NodeReferences.keyDigest(digest)).map(NodePath::account);
    }

    /** Returns the service that answers for a model. */
    public Optional<String> serviceOfModel(String model) {
        return holderOf(NodeReferences.model(model)).map(NodePath::service);
    }

    /** Returns the plain service whose path prefix is the longest that fits a URL's path. */
    public Optional<String> serviceOfPath(String path) {
        String prefix = path;
        while (prefix.startsWith("/")) {
            Optional<NodePath> holder = holderOf(NodeReferences.pathPrefix(prefix));
            if (holder.isPresent()) {
                return holder.map(NodePath::service);
            }
            prefix = prefix.substring(0, prefix.lastIndexOf('/'));
        }
        return Optional.empty();
    }

    /** Returns the node of the route that has just this host and path prefix. */
    public Optional<SettingsNode> routeAt(String host, String prefix) {
        return holderOf(NodeReferences.place(host, prefix)).flatMap(this::node);
    }

    /** Returns every service's name, sorted. */
    public List<String> services() {
        return mServices;
    }

    /** Returns the settings that hold for a context, each with the node it comes from. */
    public EffectiveSettings effective(SettingsContext context) {
        return EffectiveSettings.of(this, context);
    }

    Optional<NodePath> holderOf(String claim) {
        return Optional.ofNullable(mClaims.get(claim));
    }

    /** Returns how many other nodes name the service or client account of a definition. */
    int usesOf(NodePath definition) {
        Integer count = mUses.get(definition.toString());
        return count == null ? 0 : count;
    }

    List<NodePath> rulesBelow(NodePath path) {
        List<NodePath> rules = mRules.get(path.toString());
        return rules == null ? List.of() : rules;
    }

    /** Makes the successor of a tree, one node at a time. */
    private static final class Editor {
        private PersistentMap<SettingsNode> mNewNodes;
        private PersistentMap<NodePath> mNewClaims;
        private PersistentMap<Integer> mNewUses;
        private PersistentMap<List<NodePath>> mNewRules;
        private final SortedSet<String> mNewServices;
        private long mNewBytes;

        Editor(SettingsTree tree) {
            mNewNodes = tree.mNodes;
            mNewClaims = tree.mClaims;
            mNewUses = tree.mUses;
            mNewRules = tree.mRules;
            mNewServices = new TreeSet<>(tree.mServices);
            mNewBytes = tree.mBytes;
        }

        void remove(NodePath path) {
            SettingsNode old = mNewNodes.get(path.toString());
            if (old == null) {
                return;
            }
            mNewNodes = mNewNodes.with(path.toString(), null);
            mNewBytes -= old.bytes();
            NodeReferences.claimsOf(old).forEach(c -> mNewClaims = mNewClaims.with(c, null));
            count(old, -1);
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
            mNewBytes += node.bytes();
            NodeReferences.claimsOf(node).forEach(c -> mNewClaims = mNewClaims.with(c, path));
            count(node, 1);
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

        private void count(SettingsNode node, int change) {
            for (NodePath definition : NodeReferences.definitionsOf(node)) {
                String key = definition.toString();
                Integer before = mNewUses.get(key);
                int after = (before == null ? 0 : before) + change;
                mNewUses = mNewUses.with(key, after == 0 ? null : after);
            }
        }

        private List<NodePath> rules(NodePath rule) {
            List<NodePath> rules = mNewRules.get(rule.withoutRule().toString());
            return rules == null ? List.of() : rules;
        }

        private void setRules(NodePath rule, List<NodePath> rules) {
            List<NodePath> value = rules.isEmpty() ? null : List.copyOf(rules);
            mNewRules = mNewRules.with(rule.withoutRule().toString(), value);
        }

        SettingsTree toTree(long position) {
            return new SettingsTree(
                    position,
                    mNewNodes,
                    mNewClaims,
                    mNewUses,
                    mNewRules,
                    List.copyOf(mNewServices),
                    mNewBytes);
        }
    }
}
