package org.laurelweir.control.storage;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Snapshot;

/** Stores the log in memory. Tests compare the file storage with it. */
public final class MemoryLogStorage implements LogStorage {
    private final long mStorageId;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private HardState mHardState = HardState.INITIAL;
    private Snapshot mSnapshot = Snapshot.NONE;
    private long mCommitIndex;

    /** Creates an empty storage that reports the given id. */
    public MemoryLogStorage(long storageId) {
        mStorageId = storageId;
    }

    @Override
    public long storageId() {
        return mStorageId;
    }

    @Override
    public Recovered recovered() {
        return new Recovered(mHardState, mSnapshot, List.copyOf(mEntries), mCommitIndex);
    }

    @Override
    public void persist(List<Persist> effects) {
        effects.forEach(this::persist);
    }

    private void persist(Persist p) {
        if (p.hardState() != null) {
            mHardState = p.hardState();
        }
        if (p.discardLog()) {
            mEntries.clear();
        }
        if (!p.entries().isEmpty()) {
            long first = p.entries().get(0).index();
            mEntries.removeIf(e -> e.index() >= first);
            mEntries.addAll(p.entries());
        }
        if (p.snapshot() != null) {
            mSnapshot = p.snapshot();
            mEntries.removeIf(e -> e.index() <= mSnapshot.index());
        }
    }

    @Override
    public void markCommitted(long index) {
        mCommitIndex = index;
    }

    @Override
    public void close() {}
}
