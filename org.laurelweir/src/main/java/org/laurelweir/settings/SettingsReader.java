package org.laurelweir.settings;

/**
 * A reader's copy of the settings tree. It applies only deltas that lead to a higher position, so
 * that a late answer, or one of a control instance that lags behind, never reverts an accepted
 * change.
 */
public final class SettingsReader {
    private SettingsTree mTree = SettingsTree.EMPTY;

    /** Returns the reader's current tree. */
    public SettingsTree tree() {
        return mTree;
    }

    /** Returns the reader's position, which it sends with its next request. */
    public long position() {
        return mTree.position();
    }

    /**
     * Applies the answer to a request that was sent at the reader's position or an earlier one. The
     * answer to an earlier request repeats nodes that the reader has, in their state at the
     * answer's position.
     *
     * @param delta the answer
     * @return whether the tree changed; false if the answer is not newer than the reader's tree
     */
    public boolean apply(SettingsDelta delta) {
        if (delta.position() <= mTree.position()) {
            return false;
        }
        mTree =
                delta.full()
                        ? SettingsTree.of(delta.position(), delta.nodes())
                        : mTree.with(delta.position(), delta.nodes());
        return true;
    }
}
