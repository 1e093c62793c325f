package org.laurelweir.settings;

/**
 * The settings as one reader has them. It takes in only what brings it to a higher position, so
 * that a late answer, or one of a control instance that lags, never takes an accepted change back.
 */
public final class SettingsReader {
    private SettingsTree mTree = SettingsTree.EMPTY;

    /** Returns the newest tree that the reader has. */
    public SettingsTree tree() {
        return mTree;
    }

    /** Returns the reader's position, to be sent with its next question. */
    public long position() {
        return mTree.position();
    }

    /**
     * Takes in an answer to a question that was asked at the reader's position or an earlier one.
     * An answer to an earlier question repeats nodes that the reader has, as they stand at the
     * answer's higher position.
     *
     * @param delta the answer
     * @return whether the tree changed; false if the answer is not newer than what the reader has
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
