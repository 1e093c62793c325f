package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * The unique keys that a node owns, and the definitions that it references. A unique key is a text
 * of a kind and a name, such as {@code model m1}; no two nodes may own the same one.
 */
final class NodeReferences {
    private NodeReferences() {}

    static String modelKey(String name) {
        return "model " + name;
    }

    static String pathPrefixKey(String prefix) {
        return "path-prefix " + prefix;
    }

    static String routeKey(String host, String prefix) {
        return "route " + host + prefix;
    }

    static String digestKey(String digest) {
        return "key-digest " + digest;
    }

    /** Returns the unique keys that a node owns. */
    static List<String> uniqueKeysOf(SettingsNode node) {
        List<String> keys = new ArrayList<>();
        List<String> models = node.value(SettingKeys.SERVICE_MODELS);
        if (models != null) {
            models.forEach(m -> keys.add(modelKey(m)));
        }
        String prefix = node.value(SettingKeys.SERVICE_PATH_PREFIX);
        if (prefix != null && !prefix.isEmpty()) {
            keys.add(pathPrefixKey(prefix));
        }
        List<String> digests = node.value(SettingKeys.ACCOUNT_KEY_DIGESTS);
        if (digests != null) {
            digests.forEach(d -> keys.add(digestKey(d)));
        }
        if (node.path().route() != null) {
            String host = node.value(SettingKeys.ROUTE_HOST);
            keys.add(routeKey(host, node.value(SettingKeys.ROUTE_PATH_PREFIX)));
        }
        return keys;
    }

    /**
     * Returns the paths of the definitions of the services and client account that a node names.
     */
    static List<NodePath> referencedDefinitions(SettingsNode node) {
        NodePath path = node.path();
        List<NodePath> definitions = new ArrayList<>();
        if (path.service() != null && !path.isOnly(Level.SERVICE)) {
            definitions.add(NodePath.ofService(path.service()));
        }
        if (path.account() != null && !path.isOnly(Level.ACCOUNT)) {
            definitions.add(NodePath.ofAccount(path.account()));
        }
        List<RouteShare> shares = node.value(SettingKeys.ROUTE_SHARES);
        if (shares != null) {
            shares.forEach(s -> definitions.add(NodePath.ofService(s.service())));
        }
        return definitions;
    }
}
