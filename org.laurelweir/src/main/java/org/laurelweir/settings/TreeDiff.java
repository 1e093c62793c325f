package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two trees value by value. */
final class TreeDiff {
    private TreeDiff() {}

    static List<ValueDiff> between(SettingsTree before, SettingsTree after) {
        Map<NodePath, Map<String, String>> old = valuesOf(before);
        Map<NodePath, Map<String, String>> current = valuesOf(after);
        TreeSet<NodePath> paths = new TreeSet<>(old.keySet());
        paths.addAll(current.keySet());
        List<ValueDiff> diffs = new ArrayList<>();
        for (NodePath p : paths) {
            add(p, old.getOrDefault(p, Map.of()), current.getOrDefault(p, Map.of()), diffs);
        }
        return diffs;
    }

    private static Map<NodePath, Map<String, String>> valuesOf(SettingsTree tree) {
        Map<NodePath, Map<String, String>> values = new TreeMap<>();
        tree.nodes().forEach(n -> values.put(n.path(), n.values()));
        return values;
    }

    private static void add(
            NodePath path,
            Map<String, String> before,
            Map<String, String> after,
            List<ValueDiff> diffs) {
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String k : keys) {
            if (!Objects.equals(before.get(k), after.get(k))) {
                diffs.add(new ValueDiff(path, k, before.get(k), after.get(k)));
            }
        }
    }
}
