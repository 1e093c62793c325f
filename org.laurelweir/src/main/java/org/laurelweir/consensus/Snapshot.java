package org.laurelweir.consensus;

/**
 * The state machine's state after an entry, in place of the log up to there.
 *
 * @param index the last entry contained
 * @param term that entry's term
 * @param membership the membership in force at that entry
 * @param state the state machine's own encoding
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {
    /** Stands for the empty log of a new disk. */
    public static final Snapshot NONE = new Snapshot(0, 0, Membership.EMPTY, new byte[0]);

    @Override
    public String toString() {
        return "snapshot " + index + "/" + term + " " + state.length + " B";
    }
}
