package org.laurelweir.settings;

import java.util.List;

/**
 * Limits the size of the settings tree. Each single change is limited, but without a limit on the
 * tree, many changes together would fill the heap of every control instance and router, and fill it
 * again at each start, when the tree is loaded.
 */
final class TreeSizeLimit {
    /**
     * The maximum estimated size of a tree. It is an eighth of the smallest heap in use, 64 MB,
     * since the heap also holds the tree's snapshot, the log and the changes in flight. The target
     * of 19,000 client accounts of about 300 B each fits into it. The limit does not depend on the
     * heap, since all replicas have to reject the same changes.
     */
    static final long MAX_BYTES = 8 << 20;

    private TreeSizeLimit() {}

    /**
     * Returns a fault if a change makes the tree larger than the limit. A change that makes the
     * tree smaller is allowed even if the tree still exceeds the limit.
     *
     * @param before the tree in force
     * @param after the tree with the change
     */
    static List<NodeFault> faultsOf(SettingsTree before, SettingsTree after) {
        if (after.estimatedBytes() <= Math.max(MAX_BYTES, before.estimatedBytes())) {
            return List.of();
        }
        String problem = "makes a tree of " + after.estimatedBytes() + " B";
        return List.of(new NodeFault("change", "", problem, "up to " + MAX_BYTES + " B"));
    }
}
