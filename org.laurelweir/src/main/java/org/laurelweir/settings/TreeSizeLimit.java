package org.laurelweir.settings;

import java.util.List;

/**
 * How large a tree of settings may become. Each change is bounded, and without a bound on what they
 * make together every control instance and router would fill its heap, and fill it again at each
 * start, while it reads the tree back.
 */
final class TreeSizeLimit {
    /**
     * An eighth of the smallest heap that is in use, 64 MB: a tree is held beside its snapshot, the
     * log and the changes on their way. Client accounts of some 300 B each leave room for all of
     * the 19,000 that are aimed at. Not a share of the heap, since every replica has to refuse the
     * same.
     */
    static final long MOST_BYTES = 8 << 20;

    private TreeSizeLimit() {}

    /**
     * Returns a fault if a change makes a tree larger than is taken. One that makes it smaller is
     * taken however large the tree still is.
     *
     * @param before the tree in force
     * @param after the tree with the change
     */
    static List<NodeFault> faultsOf(SettingsTree before, SettingsTree after) {
        if (after.bytes() <= Math.max(MOST_BYTES, before.bytes())) {
            return List.of();
        }
        String problem = "makes a tree of " + after.bytes() + " B";
        return List.of(new NodeFault("change", "", problem, "up to " + MOST_BYTES + " B"));
    }
}
