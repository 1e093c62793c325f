package org.laurelweir.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Batches disk writes and defers actions until the writes they depend on are synced. While earlier
 * batches are being synced, further writes are queued, so that one sync serves many proposals.
 */
final class DiskWriteQueue {
    /** One batch that is being synced and one that waits behind it keep the disk busy. */
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

    /** Sets the last index that is already on disk at the start. */
    void reset(long lastIndex) {
        mDurableIndex = lastIndex;
    }

    void write(HardState hardState) {
        mQueuedHardState = hardState;
    }

    /** Queues entries. They replace all entries at and after the index of the first one. */
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

    /** Queues a snapshot. With discardLog, all entries written before are discarded. */
    void write(Snapshot snapshot, boolean discardLog) {
        mQueuedSnapshot = snapshot;
        if (discardLog) {
            mDiscardLog = true;
            mQueuedEntries.clear();
            mQueuedBytes = 0;
            invalidateFrom(1);
        }
    }

    /** Runs an action once all writes so far are synced, or at once if they already are. */
    void afterSync(Runnable action) {
        if (!hasQueuedWrites() && mUnsyncedBatches.isEmpty()) {
            action.run();
            return;
        }
        mDeferredActions.add(
                new DeferredAction(hasQueuedWrites() ? mLastSequence + 1 : mLastSequence, action));
    }

    /** Issues the queued writes as one batch, unless the maximum number of batches is unsynced. */
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

    /**
     * Handles the sync of all batches up to a sequence number and runs the actions that waited for
     * them.
     */
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

    /** Returns the index up to which the current log is synced to disk. */
    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns the size in bytes of all entries that are queued or not yet reported as synced. */
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

    /**
     * Lowers the durable index below a replaced entry. The sync of the old entry must not count for
     * the new entry at the same index.
     */
    private void invalidateFrom(long index) {
        mDurableIndex = Math.min(mDurableIndex, index - 1);
        for (Batch b : mUnsyncedBatches) {
            b.mLastIndex = Math.min(b.mLastIndex, index - 1);
        }
    }

    /** A batch that is issued but not yet reported as synced. */
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

    /** An action that waits for the sync of a batch. */
    private static final class DeferredAction {
        private final long mSequence;
        private final Runnable mAction;

        private DeferredAction(long sequence, Runnable action) {
            mSequence = sequence;
            mAction = action;
        }
    }
}
