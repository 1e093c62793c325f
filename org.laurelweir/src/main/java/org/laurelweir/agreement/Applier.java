package org.laurelweir.agreement;

import java.util.function.LongConsumer;

/** Hands committed entries to the state machine, in order, and asks for snapshots. */
final class Applier {
    private final ReplicaState mState;
    private final LongConsumer mAppliedListener;
    private long mCommitIndex;
    private long mMarked;
    private boolean mSnapshotAsked;

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
     * @param committed an index told by {@link AgreementEffect.MarkCommitted}, or 0
     */
    void recover(long committed) {
        mCommitIndex = mState.log().snapshot().index();
        mMarked = committed;
        commitTo(committed);
    }

    /**
     * Tells how far entries are committed and on this disk, if that has grown. One that is
     * committed by others but not synced here could be missing after a loss of power, and another
     * one could stand in its place for a moment.
     */
    void mark() {
        long index = Math.min(mCommitIndex, mState.durability().durableIndex());
        if (index > mMarked) {
            mMarked = index;
            mState.emit(new AgreementEffect.MarkCommitted(index));
        }
    }

    /** Goes on after a snapshot that the shell is told to load in place of its state. */
    void install(Snapshot snapshot) {
        mCommitIndex = snapshot.index();
        mSnapshotAsked = false;
        mState.emit(new AgreementEffect.InstallSnapshot(snapshot));
    }

    /** Applies up to an index, as far as the log goes. */
    void commitTo(long index) {
        ReplicatedLog log = mState.log();
        long end = Math.min(index, log.lastIndex());
        while (mCommitIndex < end) {
            mCommitIndex++;
            LogEntry e = log.entry(mCommitIndex);
            if (e.kind() == LogEntry.Kind.COMMAND) {
                mState.emit(new AgreementEffect.Apply(e.index(), e.term(), e.payload()));
            }
            mAppliedListener.accept(mCommitIndex);
        }
        askForSnapshot();
    }

    private void askForSnapshot() {
        long sinceLast = mCommitIndex - mState.log().snapshot().index();
        if (!mSnapshotAsked && sinceLast >= mState.config().snapshotEvery()) {
            mSnapshotAsked = true;
            mState.emit(new AgreementEffect.TakeSnapshot(mCommitIndex));
        }
    }

    void onSnapshotTaken(AgreementEvent.SnapshotTaken taken) {
        mSnapshotAsked = false;
        ReplicatedLog log = mState.log();
        long index = taken.index();
        if (index <= log.snapshot().index() || index > mCommitIndex) {
            return;
        }
        Snapshot snapshot =
                new Snapshot(index, log.termAt(index), log.membershipAt(index), taken.state());
        log.compact(snapshot, mState.config().snapshotTail());
        mState.durability().write(snapshot, false);
    }
}
