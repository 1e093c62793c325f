package org.laurelweir.pgm.tree;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.laurelweir.wire.v1.SettingsNode;

/**
 * One settings node of a tree file.
 *
 * @param path the node's path
 * @param version the version that the file's author saw, 0 for none; null if the file names none
 * @param values the values that the node sets, as written, by key
 */
public record DocumentNode(String path, Long version, SortedMap<String, String> values) {
    /** Copies the values. */
    public DocumentNode {
        values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
    }

    /** Returns a node of the tree in force. */
    public static DocumentNode of(SettingsNode node) {
        return of(node.getPath(), node.getVersion(), node.getValuesMap());
    }

    /** Returns a node with a version. */
    public static DocumentNode of(String path, long version, Map<String, String> values) {
        return new DocumentNode(path, version, new TreeMap<>(values));
    }
}
