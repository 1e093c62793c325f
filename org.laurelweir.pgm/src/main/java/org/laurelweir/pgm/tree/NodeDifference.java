package org.laurelweir.pgm.tree;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;
import org.laurelweir.wire.v1.NodeChange;

/**
 * The difference between a node in force and the same node of a file.
 *
 * @param path the node's path
 * @param expectedVersion the version that the change expects the node to have; 0 for a node to
 *     create
 * @param before the values in force
 * @param after the values of the file; empty for a node to be removed
 * @param delete whether the node is to be removed
 */
public record NodeDifference(
        String path,
        long expectedVersion,
        SortedMap<String, String> before,
        SortedMap<String, String> after,
        boolean delete) {

    /** Returns the change to send to control. */
    public NodeChange toChange() {
        NodeChange.Builder change =
                NodeChange.newBuilder().setPath(path).setExpectedVersion(expectedVersion);
        if (delete) {
            return change.setDelete(true).build();
        }
        for (Map.Entry<String, String> e : after.entrySet()) {
            if (!e.getValue().equals(before.get(e.getKey()))) {
                change.putSet(e.getKey(), e.getValue());
            }
        }
        before.keySet().stream().filter(k -> !after.containsKey(k)).forEach(change::addRemove);
        return change.build();
    }

    /** Returns the difference as lines: the path, then old values after - and new ones after +. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(path);
        SortedSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String old = before.get(key);
            String wanted = after.get(key);
            if (Objects.equals(old, wanted)) {
                continue;
            }
            if (old != null) {
                lines.add("- " + key + ": " + old);
            }
            if (wanted != null) {
                lines.add("+ " + key + ": " + wanted);
            }
        }
        return lines;
    }
}
