package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Checks what a change does to the references between nodes. Looks only at the changed nodes and at
 * the tree's indexes, so its cost does not grow with the tree.
 */
final class ReferenceCheck {
    private static final String MODEL_API = "/v1";
    private static final List<SettingKey<?>> REQUIRED_OF_ROUTE =
            List.of(
                    SettingKeys.ROUTE_HOST,
                    SettingKeys.ROUTE_PATH_PREFIX,
                    SettingKeys.ROUTE_SHARES);

    private final SettingsTree mBefore;
    private final SettingsTree mAfter;
    private final Set<NodePath> mChanged;
    private final Map<String, NodePath> mNewClaims = new HashMap<>();
    private final List<NodeFault> mFaults = new ArrayList<>();

    private ReferenceCheck(SettingsTree before, SettingsTree after, List<SettingsNode> changed) {
        mBefore = before;
        mAfter = after;
        mChanged = changed.stream().map(SettingsNode::path).collect(Collectors.toSet());
    }

    /**
     * Returns what is wrong.
     *
     * @param before the tree in force
     * @param after the tree as it would be
     * @param changed the changed nodes as they would be
     */
    static List<NodeFault> faultsOf(
            SettingsTree before, SettingsTree after, List<SettingsNode> changed) {
        ReferenceCheck check = new ReferenceCheck(before, after, changed);
        for (SettingsNode n : changed) {
            if (n.deleted()) {
                check.checkUnused(n.path());
            } else {
                check.checkDefinitions(n);
                check.checkClaims(n);
                check.checkService(n);
                check.checkRule(n);
                check.checkRoute(n);
            }
        }
        return check.mFaults;
    }

    private void checkUnused(NodePath path) {
        boolean definition = path.isOnly(Level.SERVICE) || path.isOnly(Level.ACCOUNT);
        int uses = definition ? mAfter.usesOf(path) : 0;
        if (uses > 0) {
            fault(path, "", "is named by other nodes: " + uses, "a node that no other one names");
        }
    }

    private void checkDefinitions(SettingsNode node) {
        for (NodePath definition : NodeReferences.definitionsOf(node)) {
            if (mAfter.node(definition).isEmpty()) {
                fault(
                        node.path(),
                        "",
                        "needs " + definition,
                        "names that have a node of their own");
            }
        }
    }

    private void checkClaims(SettingsNode node) {
        for (String claim : NodeReferences.claimsOf(node)) {
            NodePath other = mNewClaims.putIfAbsent(claim, node.path());
            Optional<NodePath> holder = mBefore.holderOf(claim);
            if (other == null && holder.isPresent() && !mChanged.contains(holder.get())) {
                other = holder.get();
            }
            if (other != null) {
                fault(node.path(), "", claim + " belongs to " + other, "what no other node has");
            }
        }
    }

    private void checkService(SettingsNode node) {
        if (!node.path().isOnly(Level.SERVICE)) {
            return;
        }
        boolean plain = "plain".equals(node.value(SettingKeys.SERVICE_KIND));
        String prefix = node.value(SettingKeys.SERVICE_PATH_PREFIX);
        boolean hasPrefix = prefix != null && !prefix.isEmpty();
        List<String> models = node.value(SettingKeys.SERVICE_MODELS);
        if (plain != hasPrefix) {
            String problem =
                    plain ? "is missing for a plain service" : "is set for a model service";
            fault(node.path(), "service.path-prefix", problem, "a prefix just for plain services");
        }
        if (plain && models != null && !models.isEmpty()) {
            String problem = "is set for a plain service";
            fault(node.path(), "service.models", problem, "models just for model services");
        }
        if (hasPrefix && (prefix + "/").startsWith(MODEL_API + "/")) {
            String problem = "is kept for the models' own calls";
            fault(node.path(), "service.path-prefix", problem, "a prefix outside " + MODEL_API);
        }
    }

    private void checkRule(SettingsNode node) {
        if (node.path().rule() == null) {
            return;
        }
        Rule rule = Rule.of(node);
        if (rule.methods().isEmpty() && rule.path() == null && rule.models().isEmpty()) {
            String allowed = "one of match.method, match.path, match.model at least";
            fault(node.path(), "", "matches every call", allowed);
        }
    }

    private void checkRoute(SettingsNode node) {
        if (node.path().route() == null) {
            return;
        }
        if (!node.path().isOnly(Level.ROUTE)) {
            fault(node.path(), "", "is a route below another level", "/route=NAME");
        }
        for (SettingKey<?> key : REQUIRED_OF_ROUTE) {
            if (!node.values().containsKey(key.name())) {
                fault(node.path(), key.name(), "is missing", key.allowed());
            }
        }
    }

    private void fault(NodePath path, String key, String problem, String allowed) {
        mFaults.add(new NodeFault(path.toString(), key, problem, allowed));
    }
}
