package org.laurelweir.consensus;

import java.util.function.LongConsumer;

/** Hands committed entries to the state machine, in order, and asks for snapshots. */
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
     * @param appliedListener told of each index just after its entry was applied
     */
    Applier(ReplicaState state, LongConsumer appliedListener) {
        mState = state;
        mAppliedListener = appliedListener;
    }

    /** Returns the last entry known committed, and applied. */
    long commitIndex() {
        return mCommitIndex;
    }

    /**
     * Starts after the snapshot that the shell has loaded, and applies what is known committed.
     *
     * @param committed an index told by {@link ConsensusEffect.MarkCommitted}, or 0
     */
    void recover(long committed) {
        mCommitIndex = mState.log().snapshot().index();
        mBytesSinceSnapshot = 0;
        mMarkedIndex = committed;
        commitTo(committed);
    }

    /**
     * Tells how far entries are committed and on this disk, if that has grown. One that is
     * committed by others but not synced here could be missing after a loss of power, and another
     * one could stand in its place for a moment.
     */
    void markCommitted() {
        long index = Math.min(mCommitIndex, mState.diskWrites().durableIndex());
        if (index > mMarkedIndex) {
            mMarkedIndex = index;
            mState.emit(new ConsensusEffect.MarkCommitted(index));
        }
    }

    /** Goes on after a snapshot that the shell is told to load in place of its state. */
    void install(Snapshot snapshot) {
        mCommitIndex = snapshot.index();
        mBytesSinceSnapshot = 0;
        mIsSnapshotPending = false;
        mState.emit(new ConsensusEffect.InstallSnapshot(snapshot));
    }

    /** Applies up to an index, as far as the log goes. */
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

    /** Returns whether a snapshot is on its way, after which the log is shorter. */
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
        // On a disk that hangs, one snapshot after the other would wait in memory.
        mState.diskWrites().afterSync(() -> mIsSnapshotPending = false);
    }
}
