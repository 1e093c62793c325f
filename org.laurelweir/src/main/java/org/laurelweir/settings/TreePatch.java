package org.laurelweir.settings;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a whole tree has other than the one in force.
 *
 * @param changed the values of each node that is new or has other ones, by its path
 * @param removed the paths of nodes that go
 */
public record TreePatch(Map<String, Map<String, String>> changed, List<String> removed) {
    /** Copies the list. */
    public TreePatch {
        removed = List.copyOf(removed);
    }

    /**
     * Returns the difference.
     *
     * @param now the tree in force
     * @param nodes the values of every node of the whole tree by its path
     */
    static TreePatch between(SettingsTree now, Map<String, Map<String, String>> nodes) {
        Map<String, Map<String, String>> changed = new TreeMap<>();
        nodes.forEach(
                (path, values) -> {
                    if (!now.holds(path, values)) {
                        changed.put(path, values);
                    }
                });
        List<String> removed =
                now.nodesOutside(nodes.keySet()).stream().map(n -> n.path().toString()).toList();
        return new TreePatch(changed, removed);
    }
}
