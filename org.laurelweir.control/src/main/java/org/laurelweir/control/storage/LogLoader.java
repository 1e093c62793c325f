package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeMap;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Reads a data folder when it is opened, and refuses what an acknowledged write can't have left.
 */
final class LogLoader {
    private final LogFiles mFiles;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final TreeMap<Long, Long> mLastIndexes = new TreeMap<>();
    private Snapshot mSnapshot = Snapshot.NONE;
    private HardState mHardState = HardState.INITIAL;
    private long mCommitted;
    private long mFirstSegment = 1;
    private long mEnd;

    /** The index of the record read last, kept or not. */
    private long mReadUpTo;

    LogLoader(LogFiles files) {
        mFiles = files;
    }

    /** Reads everything. */
    void load() throws IOException {
        if (mFiles.snapshot().exists()) {
            SnapshotCodec.Stored stored = SnapshotCodec.decode(mFiles.snapshot().read());
            mSnapshot = stored.snapshot();
            mFirstSegment = stored.firstSegment();
        }
        removeVoidSegments();
        loadSegments();
        loadHardState();
        long[] committed = MarkFile.read(mFiles.commitMark(), 1);
        mCommitted = committed == null ? 0 : committed[0];
    }

    private void removeVoidSegments() throws IOException {
        for (long number : Segment.numbersIn(mFiles.folder()).headSet(mFirstSegment)) {
            Files.delete(Segment.path(mFiles.folder(), number));
        }
    }

    private void loadSegments() throws IOException {
        SyncMark.Position mark = SyncMark.read(mFiles.syncMark());
        SortedSet<Long> numbers = Segment.numbersIn(mFiles.folder());
        if (mark == null && (!numbers.isEmpty() || mFiles.snapshot().exists())) {
            throw corrupt("the mark of what was synced is missing or damaged");
        }
        long markedSegment = mark == null ? 0 : mark.segment();
        long lastSegment = numbers.isEmpty() ? mFirstSegment - 1 : numbers.last();
        if (markedSegment > lastSegment
                || (!numbers.isEmpty() && numbers.first() != mFirstSegment)
                || numbers.size() != lastSegment - mFirstSegment + 1) {
            throw corrupt("segments " + mFirstSegment + " and on are not all there");
        }
        for (long number : numbers) {
            long syncedEnd = number == markedSegment ? mark.offset() : 0;
            loadSegment(number, number == lastSegment, syncedEnd);
        }
    }

    private void loadSegment(long number, boolean isNewest, long syncedEnd) throws IOException {
        Path path = Segment.path(mFiles.folder(), number);
        SegmentScan scan = new SegmentScan(path.toString(), Files.readAllBytes(path));
        mLastIndexes.put(number, 0L);
        if (!scan.hasHeader()) {
            // Its creation was cut short, unless something had been synced in it.
            if (!isNewest || syncedEnd > 0) {
                throw scan.corrupt("the segment's header is damaged", 0);
            }
            return;
        }
        int end = scan.readRecords(entry -> add(number, entry));
        if (isNewest) {
            scan.assertNeverAcknowledged(end, syncedEnd);
            mEnd = end;
        } else if (!scan.isWhole(end)) {
            throw scan.corrupt("a record is damaged", end);
        }
    }

    /**
     * A record replaces those at and after its index, as the persist effect that brought it did.
     * What the snapshot stands for is not kept, not even until all has been read: a segment may
     * hold a log's length of it.
     */
    private void add(long segment, LogEntry entry) {
        if (entry.index() > Math.max(mReadUpTo, mSnapshot.index()) + 1) {
            throw corrupt("entries before " + entry.index() + " are missing");
        }
        while (!mEntries.isEmpty() && mEntries.get(mEntries.size() - 1).index() >= entry.index()) {
            mEntries.remove(mEntries.size() - 1);
        }
        if (entry.index() > mSnapshot.index()) {
            mEntries.add(entry);
        }
        mReadUpTo = entry.index();
        mLastIndexes.merge(segment, entry.index(), Math::max);
    }

    private void loadHardState() throws IOException {
        if (mFiles.hardState().exists()) {
            mHardState = HardStateCodec.decode(mFiles.hardState().read());
        } else if (!mLastIndexes.isEmpty()) {
            throw corrupt("the term and vote are missing");
        }
        long lastTerm =
                mEntries.isEmpty() ? mSnapshot.term() : mEntries.get(mEntries.size() - 1).term();
        if (lastTerm > mHardState.term()) {
            throw corrupt("the term and vote are older than the log");
        }
    }

    private LaurelweirException corrupt(String what) {
        return new LaurelweirException(ResultCode.LOG_CORRUPT, mFiles.folder() + ": " + what);
    }

    /** Returns what was read, for the log. */
    @Override
    public String toString() {
        long bytes = mEntries.stream().mapToLong(e -> e.payload().length).sum();
        return mEntries.size() + " entries, " + bytes + " B, after " + mSnapshot;
    }

    Recovered recovered() {
        return new Recovered(mHardState, mSnapshot, List.copyOf(mEntries), mCommitted);
    }

    /** Returns the highest index in each segment, by the segments' numbers. */
    TreeMap<Long, Long> lastIndexes() {
        return mLastIndexes;
    }

    long firstSegment() {
        return mFirstSegment;
    }

    /** Returns where the newest segment's valid records end, or 0 if it must be created anew. */
    long end() {
        return mEnd;
    }
}
