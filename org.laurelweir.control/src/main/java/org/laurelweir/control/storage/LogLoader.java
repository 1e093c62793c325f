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
 * Reads a data folder when it is opened. Rejects a folder whose state can't result from
 * acknowledged writes and a crash.
 */
final class LogLoader {
    private final LogFiles mFiles;
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final TreeMap<Long, Long> mLastIndexes = new TreeMap<>();
    private Snapshot mSnapshot = Snapshot.NONE;
    private HardState mHardState = HardState.INITIAL;
    private long mCommitIndex;
    private long mFirstSegment = 1;
    private long mNewestSegmentEnd;

    /** The index of the last record that was read, whether or not its entry was kept. */
    private long mLastReadIndex;

    LogLoader(LogFiles files) {
        mFiles = files;
    }

    /** Reads the snapshot, the segments, the term and vote, and the commit mark. */
    void load() throws IOException {
        if (mFiles.snapshot().exists()) {
            SnapshotCodec.Stored stored = SnapshotCodec.decode(mFiles.snapshot().read());
            mSnapshot = stored.snapshot();
            mFirstSegment = stored.firstSegment();
        }
        removeObsoleteSegments();
        loadSegments();
        loadHardState();
        long[] commitMark = MarkFile.read(mFiles.commitMark(), 1);
        mCommitIndex = commitMark == null ? 0 : commitMark[0];
    }

    private void removeObsoleteSegments() throws IOException {
        for (long number : Segment.numbersIn(mFiles.folder()).headSet(mFirstSegment)) {
            Files.delete(Segment.path(mFiles.folder(), number));
        }
    }

    private void loadSegments() throws IOException {
        SyncMark.Position mark = SyncMark.read(mFiles.syncMark());
        SortedSet<Long> numbers = Segment.numbersIn(mFiles.folder());
        if (mark == null && (!numbers.isEmpty() || mFiles.snapshot().exists())) {
            throw corrupt("the sync mark is missing or damaged");
        }
        long markedSegment = mark == null ? 0 : mark.segment();
        long lastSegment = numbers.isEmpty() ? mFirstSegment - 1 : numbers.last();
        if (markedSegment > lastSegment
                || (!numbers.isEmpty() && numbers.first() != mFirstSegment)
                || numbers.size() != lastSegment - mFirstSegment + 1) {
            throw corrupt("segments " + mFirstSegment + " and later are not complete");
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
            // A crash interrupted the segment's creation, unless bytes of it are known to be
            // synced.
            if (!isNewest || syncedEnd > 0) {
                throw scan.corrupt("the segment's header is damaged", 0);
            }
            return;
        }
        int end = scan.readRecords(entry -> add(number, entry));
        if (isNewest) {
            scan.checkTailUnacknowledged(end, syncedEnd);
            mNewestSegmentEnd = end;
        } else if (!scan.endsAt(end)) {
            throw scan.corrupt("a record is damaged", end);
        }
    }

    /**
     * Adds an entry. It replaces all entries from its index on, as the persist effect that wrote it
     * did. Entries that the snapshot covers are dropped right away, since one segment may hold as
     * many of them as the whole rest of the log.
     */
    private void add(long segment, LogEntry entry) {
        if (entry.index() > Math.max(mLastReadIndex, mSnapshot.index()) + 1) {
            throw corrupt("entries before " + entry.index() + " are missing");
        }
        while (!mEntries.isEmpty() && mEntries.get(mEntries.size() - 1).index() >= entry.index()) {
            mEntries.remove(mEntries.size() - 1);
        }
        if (entry.index() > mSnapshot.index()) {
            mEntries.add(entry);
        }
        mLastReadIndex = entry.index();
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

    private LaurelweirException corrupt(String reason) {
        return new LaurelweirException(ResultCode.LOG_CORRUPT, mFiles.folder() + ": " + reason);
    }

    /** Returns a summary for the log output: number and size of the entries, and the snapshot. */
    @Override
    public String toString() {
        long bytes = mEntries.stream().mapToLong(e -> e.payload().length).sum();
        return mEntries.size() + " entries, " + bytes + " B, after " + mSnapshot;
    }

    Recovered recovered() {
        return new Recovered(mHardState, mSnapshot, List.copyOf(mEntries), mCommitIndex);
    }

    /** Returns the highest index in each segment, by segment number. */
    TreeMap<Long, Long> lastIndexes() {
        return mLastIndexes;
    }

    long firstSegment() {
        return mFirstSegment;
    }

    /**
     * Returns the offset at which the valid records of the newest segment end, or 0 if the segment
     * must be created again.
     */
    long newestSegmentEnd() {
        return mNewestSegmentEnd;
    }
}
