package org.laurelweir.settings;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The differences between a whole tree and the tree in force.
 *
 * @param changed the values of each new or changed node, by its path
 * @param removed the paths of the removed nodes
 */
public record TreePatch(Map<String, Map<String, String>> changed, List<String> removed) {
    /** Copies the list. */
    public TreePatch {
        removed = List.copyOf(removed);
    }

    /**
     * Returns the differences.
     *
     * @param current the tree in force
     * @param nodes the values of every node of the whole tree, by its path
     */
    static TreePatch between(SettingsTree current, Map<String, Map<String, String>> nodes) {
        Map<String, Map<String, String>> changed = new TreeMap<>();
        nodes.forEach(
                (path, values) -> {
                    if (!current.hasNodeWithValues(path, values)) {
                        changed.put(path, values);
                    }
                });
        List<String> removed =
                current.nodesOutside(nodes.keySet()).stream()
                        .map(n -> n.path().toString())
                        .toList();
        return new TreePatch(changed, removed);
    }
}
