package org.laurelweir.pgm.tree;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Compares the nodes of a file with the nodes in force. */
public final class TreeComparison {
    private static final SortedMap<String, String> NO_VALUES = Collections.emptySortedMap();

    private TreeComparison() {}

    /**
     * Returns the differences of nodes that have to change, in the order of the file, removals
     * last.
     *
     * @param wanted the nodes of the file. A version in the file becomes the expected version, so
     *     that a change which another operator has made since then causes a conflict instead of
     *     being overwritten
     * @param present the nodes in force
     * @param prune whether nodes that the file lacks are to be removed
     */
    public static List<NodeDifference> differences(
            List<DocumentNode> wanted, List<DocumentNode> present, boolean prune) {
        Map<String, DocumentNode> unmatched = new TreeMap<>();
        present.forEach(n -> unmatched.put(n.path(), n));
        List<NodeDifference> differences = new ArrayList<>();
        for (DocumentNode w : wanted) {
            DocumentNode p = unmatched.remove(w.path());
            if (p == null || !p.values().equals(w.values())) {
                differences.add(difference(w, p));
            }
        }
        if (prune) {
            unmatched.values().forEach(p -> differences.add(removal(p)));
        }
        return differences;
    }

    private static NodeDifference difference(DocumentNode wanted, DocumentNode present) {
        long version = present == null ? 0 : present.version();
        long expected = wanted.version() == null ? version : wanted.version();
        SortedMap<String, String> before = present == null ? NO_VALUES : present.values();
        return new NodeDifference(wanted.path(), expected, before, wanted.values(), false);
    }

    private static NodeDifference removal(DocumentNode present) {
        return new NodeDifference(
                present.path(), present.version(), present.values(), NO_VALUES, true);
    }
}
