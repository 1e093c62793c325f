package org.laurelweir.consensus;

/**
 * The state machine's state after an entry. It replaces the log up to and including that entry.
 *
 * @param index the index of the last entry contained
 * @param term that entry's term
 * @param membership the membership at that entry
 * @param state the state as encoded by the state machine
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {
    /** The snapshot of an empty log, which a new disk holds. */
    public static final Snapshot NONE = new Snapshot(0, 0, Membership.EMPTY, new byte[0]);

    @Override
    public String toString() {
        return "snapshot " + index + "/" + term + " " + state.length + " B";
    }
}
