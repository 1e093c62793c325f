package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;

/**
 * The names that a node claims for itself, of which no two nodes may claim the same, and the
 * definitions it depends on. Both are texts with their kind in front.
 */
final class NodeReferences {
    private NodeReferences() {}

    static String model(String name) {
        return "model " + name;
    }

    static String pathPrefix(String prefix) {
        return "path-prefix " + prefix;
    }

    static String place(String host, String prefix) {
        return "route " + host + prefix;
    }

    static String keyDigest(String digest) {
        return "key-digest " + digest;
    }

    /** Returns what a node claims. */
    static List<String> claimsOf(SettingsNode node) {
        List<String> claims = new ArrayList<>();
        List<String> models = node.value(SettingKeys.SERVICE_MODELS);
        if (models != null) {
            models.forEach(m -> claims.add(model(m)));
        }
        String prefix = node.value(SettingKeys.SERVICE_PATH_PREFIX);
        if (prefix != null && !prefix.isEmpty()) {
            claims.add(pathPrefix(prefix));
        }
        List<String> digests = node.value(SettingKeys.ACCOUNT_KEY_DIGESTS);
        if (digests != null) {
            digests.forEach(d -> claims.add(keyDigest(d)));
        }
        if (node.path().route() != null) {
            String host = node.value(SettingKeys.ROUTE_HOST);
            claims.add(place(host, node.value(SettingKeys.ROUTE_PATH_PREFIX)));
        }
        return claims;
    }

    /** Returns the other nodes that define the services and the client account that one names. */
    static List<NodePath> definitionsOf(SettingsNode node) {
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
