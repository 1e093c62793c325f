package org.laurelweir.settings;

import java.util.List;

/**
 * A rule node with its parsed conditions.
 *
 * @param node the rule's node
 * @param methods the HTTP methods to which it applies; empty for all
 * @param path the pattern of the paths to which it applies; null for all
 * @param models the models to which it applies; empty for all
 */
record Rule(SettingsNode node, List<String> methods, PathPattern path, List<String> models) {
    static Rule of(SettingsNode node) {
        List<String> methods = node.value(SettingKeys.MATCH_METHOD);
        List<String> models = node.value(SettingKeys.MATCH_MODEL);
        String path = node.value(SettingKeys.MATCH_PATH);
        return new Rule(
                node,
                methods == null ? List.of() : methods,
                path == null || path.isEmpty() ? null : new PathPattern(path),
                models == null ? List.of() : models);
    }

    boolean matches(SettingsContext.Call call) {
        return (methods.isEmpty() || methods.contains(call.method()))
                && (path == null || path.matches(call.path()))
                && (models.isEmpty() || (call.model() != null && models.contains(call.model())));
    }
}
