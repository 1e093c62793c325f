package org.laurelweir.consensus;

/**
 * The part of a replica's state, besides its log, that must survive a restart.
 *
 * @param term the highest term that the replica has seen
 * @param votedFor the replica that it voted for in that term, or null
 */
public record HardState(long term, ReplicaId votedFor) {
    /** The state of a new disk. */
    public static final HardState INITIAL = new HardState(0, null);

    /** Returns whether this is the state of a new disk. */
    public boolean isInitial() {
        return term == 0 && votedFor == null;
    }
}
