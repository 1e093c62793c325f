package org.laurelweir.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects what must reach the disk and holds back what may only happen once it is there. While
 * writes are outstanding the next ones gather, so that one sync serves many proposals.
 */
final class DiskWriteQueue {
    /** One write being synced and one waiting behind it keep the disk busy. */
    private static final int MAX_UNSYNCED_BATCHES = 2;

    private final ArrayDeque<Batch> mUnsyncedBatches = new ArrayDeque<>();
    private final ArrayDeque<DeferredAction> mDeferredActions = new ArrayDeque<>();
    private List<LogEntry> mQueuedEntries = new ArrayList<>();
    private HardState mQueuedHardState;
    private Snapshot mQueuedSnapshot;
    private boolean mDiscardLog;
    private long mLastSequence;
    private long mDurableIndex;
    private long mQueuedBytes;
    private long mUnsyncedBatchBytes;

    /** Starts from what a disk held. */
    void reset(long lastIndex) {
        mDurableIndex = lastIndex;
    }

    void write(HardState hardState) {
        mQueuedHardState = hardState;
    }

    /** Writes entries in place of those at and after the first one's index. */
    void write(List<LogEntry> entries) {
        long first = entries.get(0).index();
        invalidateFrom(first);
        while (!mQueuedEntries.isEmpty()
                && mQueuedEntries.get(mQueuedEntries.size() - 1).index() >= first) {
            mQueuedBytes -= mQueuedEntries.remove(mQueuedEntries.size() - 1).bytes();
        }
        mQueuedEntries.addAll(entries);
        mQueuedBytes += LogEntry.totalBytes(entries);
    }

    /** Writes a snapshot; with discardLog, all entries written before are void. */
    void write(Snapshot snapshot, boolean discardLog) {
        mQueuedSnapshot = snapshot;
        if (discardLog) {
            mDiscardLog = true;
            mQueuedEntries.clear();
            mQueuedBytes = 0;
            invalidateFrom(1);
        }
    }

    /** Runs an action once everything written so far has been synced; at once if it has been. */
    void afterSync(Runnable action) {
        if (!hasQueuedWrites() && mUnsyncedBatches.isEmpty()) {
            action.run();
            return;
        }
        mDeferredActions.add(
                new DeferredAction(hasQueuedWrites() ? mLastSequence + 1 : mLastSequence, action));
    }

    /** Issues a write of what has gathered, unless enough are outstanding. */
    void flush(Consumer<? super ConsensusEffect> effects) {
        if (!hasQueuedWrites() || mUnsyncedBatches.size() >= MAX_UNSYNCED_BATCHES) {
            return;
        }
        mLastSequence++;
        mUnsyncedBatches.add(new Batch(mLastSequence, lastQueuedIndex(), mQueuedBytes));
        mUnsyncedBatchBytes += mQueuedBytes;
        effects.accept(
                new ConsensusEffect.Persist(
                        mLastSequence,
                        mQueuedHardState,
                        mQueuedSnapshot,
                        mDiscardLog,
                        List.copyOf(mQueuedEntries)));
        mQueuedHardState = null;
        mQueuedSnapshot = null;
        mDiscardLog = false;
        mQueuedEntries = new ArrayList<>();
        mQueuedBytes = 0;
    }

    /** Takes note of a sync and runs what waited for it. */
    void onSynced(long sequence) {
        while (!mUnsyncedBatches.isEmpty() && mUnsyncedBatches.peek().mSequence <= sequence) {
            Batch synced = mUnsyncedBatches.poll();
            mUnsyncedBatchBytes -= synced.mBytes;
            mDurableIndex = Math.max(mDurableIndex, synced.mLastIndex);
        }
        while (!mDeferredActions.isEmpty() && mDeferredActions.peek().mSequence <= sequence) {
            mDeferredActions.poll().mAction.run();
        }
    }

    /** Returns the last entry up to which the present log is on disk. */
    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns the bytes of the entries that have not been reported as synced. */
    long unsyncedBytes() {
        return mQueuedBytes + mUnsyncedBatchBytes;
    }

    private boolean hasQueuedWrites() {
        return mQueuedHardState != null || mQueuedSnapshot != null || !mQueuedEntries.isEmpty();
    }

    private long lastQueuedIndex() {
        if (!mQueuedEntries.isEmpty()) {
            return mQueuedEntries.get(mQueuedEntries.size() - 1).index();
        }
        return mQueuedSnapshot == null ? 0 : mQueuedSnapshot.index();
    }

    /** An entry that was replaced must not count as synced because its predecessor was. */
    private void invalidateFrom(long index) {
        mDurableIndex = Math.min(mDurableIndex, index - 1);
        for (Batch b : mUnsyncedBatches) {
            b.mLastIndex = Math.min(b.mLastIndex, index - 1);
        }
    }

    /** A write whose sync has not been reported. */
    private static final class Batch {
        private final long mSequence;
        private final long mBytes;
        private long mLastIndex;

        private Batch(long sequence, long lastIndex, long bytes) {
            mSequence = sequence;
            mLastIndex = lastIndex;
            mBytes = bytes;
        }
    }

    /** Something that waits for a sync. */
    private static final class DeferredAction {
        private final long mSequence;
        private final Runnable mAction;

        private DeferredAction(long sequence, Runnable action) {
            mSequence = sequence;
            mAction = action;
        }
    }
}
