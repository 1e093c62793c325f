package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Validates the references between nodes after a change. It reads only the changed nodes and the
 * tree's indexes, so its cost does not grow with the tree.
 */
final class ReferenceCheck {
    private static final String MODEL_API_PREFIX = "/v1";
    private static final List<SettingKey<?>> REQUIRED_ROUTE_KEYS =
            List.of(
                    SettingKeys.ROUTE_HOST,
                    SettingKeys.ROUTE_PATH_PREFIX,
                    SettingKeys.ROUTE_SHARES);

    private final SettingsTree mBefore;
    private final SettingsTree mAfter;
    private final Set<NodePath> mChanged;
    private final Map<String, NodePath> mNewUniqueKeys = new HashMap<>();
    private final List<NodeFault> mFaults = new ArrayList<>();

    private ReferenceCheck(SettingsTree before, SettingsTree after, List<SettingsNode> changed) {
        mBefore = before;
        mAfter = after;
        mChanged = changed.stream().map(SettingsNode::path).collect(Collectors.toSet());
    }

    /**
     * Returns the faults of a change.
     *
     * @param before the tree in force
     * @param after the tree with the change
     * @param changed the changed nodes in their new state
     */
    static List<NodeFault> faultsOf(
            SettingsTree before, SettingsTree after, List<SettingsNode> changed) {
        ReferenceCheck check = new ReferenceCheck(before, after, changed);
        for (SettingsNode n : changed) {
            if (n.deleted()) {
                check.checkUnreferenced(n.path());
            } else {
                check.checkDefinitions(n);
                check.checkUniqueKeys(n);
                check.checkService(n);
                check.checkRule(n);
                check.checkRoute(n);
            }
        }
        return check.mFaults;
    }

    private void checkUnreferenced(NodePath path) {
        boolean isDefinition = path.isOnly(Level.SERVICE) || path.isOnly(Level.ACCOUNT);
        int references = isDefinition ? mAfter.referenceCount(path) : 0;
        if (references > 0) {
            addFault(
                    path,
                    "",
                    "is named by other nodes: " + references,
                    "a node that no other one names");
        }
    }

    private void checkDefinitions(SettingsNode node) {
        for (NodePath definition : NodeReferences.referencedDefinitions(node)) {
            if (mAfter.node(definition).isEmpty()) {
                addFault(
                        node.path(),
                        "",
                        "needs " + definition,
                        "names that have a node of their own");
            }
        }
    }

    private void checkUniqueKeys(SettingsNode node) {
        for (String uniqueKey : NodeReferences.uniqueKeysOf(node)) {
            NodePath other = mNewUniqueKeys.putIfAbsent(uniqueKey, node.path());
            Optional<NodePath> owner = mBefore.ownerOf(uniqueKey);
            if (other == null && owner.isPresent() && !mChanged.contains(owner.get())) {
                other = owner.get();
            }
            if (other != null) {
                addFault(
                        node.path(),
                        "",
                        uniqueKey + " belongs to " + other,
                        "what no other node has");
            }
        }
    }

    private void checkService(SettingsNode node) {
        if (!node.path().isOnly(Level.SERVICE)) {
            return;
        }
        boolean isPlain = "plain".equals(node.value(SettingKeys.SERVICE_KIND));
        String prefix = node.value(SettingKeys.SERVICE_PATH_PREFIX);
        boolean hasPrefix = prefix != null && !prefix.isEmpty();
        List<String> models = node.value(SettingKeys.SERVICE_MODELS);
        if (isPlain != hasPrefix) {
            String problem =
                    isPlain ? "is missing for a plain service" : "is set for a model service";
            addFault(
                    node.path(),
                    "service.path-prefix",
                    problem,
                    "a prefix just for plain services");
        }
        if (isPlain && models != null && !models.isEmpty()) {
            String problem = "is set for a plain service";
            addFault(node.path(), "service.models", problem, "models just for model services");
        }
        if (hasPrefix && (prefix + "/").startsWith(MODEL_API_PREFIX + "/")) {
            String problem = "is kept for the models' own calls";
            addFault(
                    node.path(),
                    "service.path-prefix",
                    problem,
                    "a prefix outside " + MODEL_API_PREFIX);
        }
    }

    private void checkRule(SettingsNode node) {
        if (node.path().rule() == null) {
            return;
        }
        Rule rule = Rule.of(node);
        if (rule.methods().isEmpty() && rule.path() == null && rule.models().isEmpty()) {
            String allowed = "one of match.method, match.path, match.model at least";
            addFault(node.path(), "", "matches every call", allowed);
        }
    }

    private void checkRoute(SettingsNode node) {
        if (node.path().route() == null) {
            return;
        }
        if (!node.path().isOnly(Level.ROUTE)) {
            addFault(node.path(), "", "is a route below another level", "/route=NAME");
        }
        for (SettingKey<?> key : REQUIRED_ROUTE_KEYS) {
            if (!node.values().containsKey(key.name())) {
                addFault(node.path(), key.name(), "is missing", key.allowed());
            }
        }
    }

    private void addFault(NodePath path, String key, String problem, String allowed) {
        mFaults.add(new NodeFault(path.toString(), key, problem, allowed));
    }
}
