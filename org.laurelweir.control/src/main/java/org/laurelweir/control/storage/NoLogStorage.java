package org.laurelweir.control.storage;

import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.Snapshot;

/**
 * Stands in for the storage of an instance without a disk. It keeps nothing: such a replica never
 * votes, and learns the log anew at each start.
 */
public final class NoLogStorage implements LogStorage {
    private final long mStorageId;

    /** Creates the storage of one start, under an id that says that there is no disk. */
    public NoLogStorage(long storageId) {
        mStorageId = storageId;
    }

    @Override
    public long storageId() {
        return mStorageId;
    }

    @Override
    public Recovered recovered() {
        return new Recovered(HardState.INITIAL, Snapshot.NONE, List.of(), 0);
    }

    @Override
    public void persist(List<Persist> effects) {}

    @Override
    public void markCommitted(long index) {}

    @Override
    public void close() {}
}
