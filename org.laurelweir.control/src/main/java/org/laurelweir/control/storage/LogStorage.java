package org.laurelweir.control.storage;

import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;

/**
 * Stores one replica's term, vote, log and snapshot. Used by one thread at a time.
 *
 * <p>Every method throws {@link org.laurelweir.errors.LaurelweirException} with {@code DISK_FAILED}
 * if the disk reports an error. After that every further call fails the same way.
 */
public interface LogStorage extends AutoCloseable {
    /**
     * Returns the id that was generated when the storage was created. It is part of the replica's
     * id.
     */
    long storageId();

    /**
     * Returns whether this folder holds a damaged log that was set aside. If so, an empty log does
     * not mean a new deployment: the damaged log may hold entries that no other replica has.
     */
    default boolean hasDamagedLog() {
        return false;
    }

    /** Returns the state that the disk held when the storage was opened. */
    Recovered recovered();

    /**
     * Persists effects in order and syncs once at the end.
     *
     * @param effects in the order of their sequences; not empty
     * @throws org.laurelweir.errors.LaurelweirException {@code DISK_FULL} if the disk rejects a
     *     write. None of these effects is guaranteed to be persisted then; they may be passed
     *     again, followed by others
     */
    void persist(List<Persist> effects);

    /**
     * Records, without a sync, the index up to which the log is committed. A failure to write it is
     * ignored: without it the next start is slower.
     */
    void markCommitted(long index);

    @Override
    void close();
}
