package org.laurelweir.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects what must reach the disk and holds back what may only happen once it is there. While
 * writes are outstanding the next ones gather, so that one sync serves many proposals.
 */
final class Durability {
    /** One write being synced and one waiting behind it keep the disk busy. */
    private static final int MAX_OUTSTANDING = 2;

    private final ArrayDeque<Batch> mOutstanding = new ArrayDeque<>();
    private final ArrayDeque<Deferred> mDeferred = new ArrayDeque<>();
    private List<LogEntry> mEntries = new ArrayList<>();
    private HardState mHardState;
    private Snapshot mSnapshot;
    private boolean mDiscardLog;
    private long mIssued;
    private long mDurableIndex;
    private long mGatheredBytes;
    private long mOutstandingBytes;

    /** Starts from what a disk held. */
    void recovered(long lastIndex) {
        mDurableIndex = lastIndex;
    }

    void write(HardState hardState) {
        mHardState = hardState;
    }

    /** Writes entries in place of those at and after the first one's index. */
    void write(List<LogEntry> entries) {
        long first = entries.get(0).index();
        forgetFrom(first);
        while (!mEntries.isEmpty() && mEntries.get(mEntries.size() - 1).index() >= first) {
            mGatheredBytes -= mEntries.remove(mEntries.size() - 1).bytes();
        }
        mEntries.addAll(entries);
        mGatheredBytes += LogEntry.bytesOf(entries);
    }

    /** Writes a snapshot; with discardLog, all entries written before are void. */
    void write(Snapshot snapshot, boolean discardLog) {
        mSnapshot = snapshot;
        if (discardLog) {
            mDiscardLog = true;
            mEntries.clear();
            mGatheredBytes = 0;
            forgetFrom(1);
        }
    }

    /** Runs an action once everything written so far has been synced; at once if it has been. */
    void afterSync(Runnable action) {
        if (!isDirty() && mOutstanding.isEmpty()) {
            action.run();
            return;
        }
        mDeferred.add(new Deferred(isDirty() ? mIssued + 1 : mIssued, action));
    }

    /** Issues a write of what has gathered, unless enough are outstanding. */
    void flush(Consumer<? super ConsensusEffect> effects) {
        if (!isDirty() || mOutstanding.size() >= MAX_OUTSTANDING) {
            return;
        }
        mIssued++;
        mOutstanding.add(new Batch(mIssued, lastWrittenIndex(), mGatheredBytes));
        mOutstandingBytes += mGatheredBytes;
        effects.accept(
                new ConsensusEffect.Persist(
                        mIssued, mHardState, mSnapshot, mDiscardLog, List.copyOf(mEntries)));
        mHardState = null;
        mSnapshot = null;
        mDiscardLog = false;
        mEntries = new ArrayList<>();
        mGatheredBytes = 0;
    }

    /** Takes note of a sync and runs what waited for it. */
    void persisted(long sequence) {
        while (!mOutstanding.isEmpty() && mOutstanding.peek().mSequence <= sequence) {
            Batch synced = mOutstanding.poll();
            mOutstandingBytes -= synced.mBytes;
            mDurableIndex = Math.max(mDurableIndex, synced.mLastIndex);
        }
        while (!mDeferred.isEmpty() && mDeferred.peek().mSequence <= sequence) {
            mDeferred.poll().mAction.run();
        }
    }

    /** Returns the last entry up to which the present log is on disk. */
    long durableIndex() {
        return mDurableIndex;
    }

    /** Returns the bytes of the entries that have not been reported as synced. */
    long unsyncedBytes() {
        return mGatheredBytes + mOutstandingBytes;
    }

    private boolean isDirty() {
        return mHardState != null || mSnapshot != null || !mEntries.isEmpty();
    }

    private long lastWrittenIndex() {
        if (!mEntries.isEmpty()) {
            return mEntries.get(mEntries.size() - 1).index();
        }
        return mSnapshot == null ? 0 : mSnapshot.index();
    }

    /** An entry that was replaced must not count as synced because its predecessor was. */
    private void forgetFrom(long index) {
        mDurableIndex = Math.min(mDurableIndex, index - 1);
        for (Batch b : mOutstanding) {
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
    private static final class Deferred {
        private final long mSequence;
        private final Runnable mAction;

        private Deferred(long sequence, Runnable action) {
            mSequence = sequence;
            mAction = action;
        }
    }
}
