package org.laurelweir.consensus;

/**
 * What a replica must not forget besides its log.
 *
 * @param term the highest term seen
 * @param votedFor whom it voted for in that term, or null
 */
public record HardState(long term, ReplicaId votedFor) {
    /** The state of a disk never written. */
    public static final HardState INITIAL = new HardState(0, null);

    /** Returns whether this is the state of a disk never written. */
    public boolean isInitial() {
        return term == 0 && votedFor == null;
    }
}
