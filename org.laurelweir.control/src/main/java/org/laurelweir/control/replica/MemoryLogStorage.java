package org.laurelweir.control.replica;

import java.util.List;
import org.laurelweir.agreement.AgreementEffect.Persist;
import org.laurelweir.agreement.AgreementEvent.Recovered;
import org.laurelweir.agreement.HardState;
import org.laurelweir.agreement.Snapshot;
import org.laurelweir.control.storage.LogStorage;

/** Keeps nothing beyond the process. Stands in until the log's files are there. */
public final class MemoryLogStorage implements LogStorage {
    private final long mStorageId;

    /** Creates storage under a fresh id. */
    public MemoryLogStorage(long storageId) {
        mStorageId = storageId;
    }

    @Override
    public long storageId() {
        return mStorageId;
    }

    @Override
    public Recovered recovered() {
        return new Recovered(HardState.INITIAL, Snapshot.NONE, List.of());
    }

    @Override
    public void persist(List<Persist> effects) {}

    @Override
    public void close() {}
}
