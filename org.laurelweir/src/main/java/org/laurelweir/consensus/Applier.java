package org.laurelweir.consensus;

import java.util.function.LongConsumer;

/** Applies committed entries to the state machine in order and requests snapshots. */
final class Applier {
    private final ReplicaState mState;
    private final LongConsumer mAppliedListener;
    private long mCommitIndex;
    private long mMarkedIndex;
    private boolean mIsSnapshotPending;

    /** Bytes of the entries applied since the last snapshot. */
    private long mBytesSinceSnapshot;

    /**
     * Creates an applier.
     *
     * @param appliedListener receives each index just after its entry is applied
     */
    Applier(ReplicaState state, LongConsumer appliedListener) {
        mState = state;
        mAppliedListener = appliedListener;
    }

    /** Returns the index of the last entry that is committed and applied. */
    long commitIndex() {
        return mCommitIndex;
    }

    /**
     * Starts from the snapshot that the shell has loaded and applies the entries known to be
     * committed.
     *
     * @param commitIndex the index recorded by {@link ConsensusEffect.MarkCommitted}, or 0
     */
    void recover(long commitIndex) {
        mCommitIndex = mState.log().snapshot().index();
        mBytesSinceSnapshot = 0;
        mMarkedIndex = commitIndex;
        commitTo(commitIndex);
    }

    /**
     * Emits {@link ConsensusEffect.MarkCommitted} if the index up to which entries are committed
     * and synced on this disk has risen. An entry that others have committed but that is not synced
     * here could be missing after a power loss, and a different entry could temporarily stand at
     * its index.
     */
    void markCommitted() {
        long index = Math.min(mCommitIndex, mState.diskWrites().durableIndex());
        if (index > mMarkedIndex) {
            mMarkedIndex = index;
            mState.emit(new ConsensusEffect.MarkCommitted(index));
        }
    }

    /**
     * Tells the shell to replace the state with a snapshot and continues from the snapshot's index.
     */
    void install(Snapshot snapshot) {
        mCommitIndex = snapshot.index();
        mBytesSinceSnapshot = 0;
        mIsSnapshotPending = false;
        mState.emit(new ConsensusEffect.InstallSnapshot(snapshot));
    }

    /**
     * Commits and applies the entries up to an index, or up to the end of the log if that is lower.
     */
    void commitTo(long index) {
        ReplicatedLog log = mState.log();
        long end = Math.min(index, log.lastIndex());
        while (mCommitIndex < end) {
            mCommitIndex++;
            LogEntry e = log.entry(mCommitIndex);
            mBytesSinceSnapshot += e.bytes();
            if (e.kind() == LogEntry.Kind.COMMAND) {
                mState.emit(new ConsensusEffect.Apply(e.index(), e.term(), e.payload()));
            }
            mAppliedListener.accept(mCommitIndex);
        }
        requestSnapshotIfDue();
    }

    private void requestSnapshotIfDue() {
        if (!mIsSnapshotPending && isSnapshotDue()) {
            mIsSnapshotPending = true;
            mState.emit(new ConsensusEffect.TakeSnapshot(mCommitIndex));
        }
    }

    private boolean isSnapshotDue() {
        Snapshot last = mState.log().snapshot();
        ConsensusConfig config = mState.config();
        return mCommitIndex - last.index() >= config.snapshotIntervalEntries()
                || mBytesSinceSnapshot
                        >= config.logLimits().snapshotThresholdBytes(last.state().length);
    }

    /**
     * Returns whether a snapshot is requested but not yet synced. Once it is synced, the log is
     * shorter.
     */
    boolean isSnapshotPending() {
        return mIsSnapshotPending;
    }

    void onSnapshotTaken(ConsensusEvent.SnapshotTaken taken) {
        ReplicatedLog log = mState.log();
        long index = taken.index();
        if (index <= log.snapshot().index() || index > mCommitIndex) {
            mIsSnapshotPending = false;
            return;
        }
        Snapshot snapshot =
                new Snapshot(index, log.termAt(index), log.membershipAt(index), taken.state());
        mState.compact(snapshot);
        mBytesSinceSnapshot = log.bytesBetween(index, mCommitIndex);
        mState.diskWrites().write(snapshot, false);
        // Allows the next snapshot only after this one is synced. Otherwise snapshots would pile up
        // in memory while a disk hangs.
        mState.diskWrites().afterSync(() -> mIsSnapshotPending = false);
    }
}
