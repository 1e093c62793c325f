package org.laurelweir.control.storage;

import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.Snapshot;

/**
 * The storage of an instance without a disk. It stores nothing, so its replica never votes and
 * receives the whole log again after each start.
 */
public final class DisklessLogStorage implements LogStorage {
    private final long mStorageId;

    /**
     * Creates a storage.
     *
     * @param storageId an id that marks the replica as volatile; a new one for each start
     */
    public DisklessLogStorage(long storageId) {
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
