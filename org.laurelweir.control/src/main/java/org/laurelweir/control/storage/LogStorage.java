package org.laurelweir.control.storage;

import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;

/**
 * Keeps one replica's term, vote, log and snapshot. Used by one thread at a time.
 *
 * <p>Every method throws {@link org.laurelweir.errors.LaurelweirException}: {@code DISK_FAILED} if
 * the disk reported an error, after which every further call fails the same way.
 */
public interface LogStorage extends AutoCloseable {
    /** Returns the id drawn when the storage was created, part of the replica's id. */
    long storageId();

    /**
     * Returns whether a log was set aside here since it was damaged: one that is empty then is not
     * new, and others may lack what was in the damaged one.
     */
    default boolean isBesideDamagedLog() {
        return false;
    }

    /** Returns what the disk held when the storage was opened. */
    Recovered recovered();

    /**
     * Carries out effects in order and syncs once at the end.
     *
     * @param effects in the order of their sequences; not empty
     * @throws org.laurelweir.errors.LaurelweirException {@code DISK_FULL} if the disk refused a
     *     write; nothing is promised of these effects then, and they may be given again, with
     *     others behind them
     */
    void persist(List<Persist> effects);

    /**
     * Notes, without a sync, up to which entry the log is committed. What can't be noted is left
     * out: a start is slower without it.
     */
    void markCommitted(long index);

    @Override
    void close();
}
