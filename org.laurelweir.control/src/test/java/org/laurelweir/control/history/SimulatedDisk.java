package org.laurelweir.control.history;

import java.util.ArrayList;
import java.util.TreeMap;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Snapshot;

/** What a simulated replica has synced. It is there again after a loss of power. */
final class SimulatedDisk {
    private final TreeMap<Long, LogEntry> mLog = new TreeMap<>();
    private HardState mHardState = HardState.INITIAL;
    private Snapshot mSnapshot = Snapshot.NONE;
    private long mCommitIndex;
    private long mLoggedBytes;

    /** Returns the first event of a replica that starts on this disk. */
    ConsensusEvent.Recovered recover() {
        return new ConsensusEvent.Recovered(
                mHardState,
                mSnapshot,
                new ArrayList<>(mLog.tailMap(mSnapshot.index(), false).values()),
                mCommitIndex);
    }

    void write(ConsensusEffect.Persist p) {
        if (p.hardState() != null) {
            mHardState = p.hardState();
        }
        if (p.discardLog()) {
            mLog.clear();
        }
        if (p.snapshot() != null) {
            mSnapshot = p.snapshot();
            mLog.headMap(mSnapshot.index(), true).clear();
        }
        for (LogEntry e : p.entries()) {
            mLog.tailMap(e.index(), true).clear();
            mLog.put(e.index(), e);
            mLoggedBytes += e.payload().length;
        }
    }

    void markCommitted(long index) {
        mCommitIndex = index;
    }

    /** Returns the total size of the entries that were written. */
    long loggedBytes() {
        return mLoggedBytes;
    }
}
