package org.laurelweir.control.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Stores the log in a data folder. Entries are only ever appended. An entry whose index is already
 * used replaces the old entries from that index on, so a crash can't leave a log that is truncated
 * but not yet continued.
 */
public final class FileLogStorage implements LogStorage {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Size at which a new segment is started. A start reads each segment into memory as a whole.
     * This is twice the bytes that are written between two snapshots with the smallest heap in use,
     * 64 MB.
     */
    static final int SEGMENT_BYTES = 4 << 20;

    private final LogFiles mFiles;
    private final int mSegmentBytes;
    private final DataFolder mFolder;
    private final SyncMark mSyncMark;
    private MarkFile mCommitMark;
    private final TreeMap<Long, Long> mLastIndexes;
    private Recovered mRecovered;
    private Segment mSegment;
    private boolean mFailed;

    /** The sequence up to which the entries of effects are in the log. */
    private long mAppendedSequence;

    /**
     * The sequence up to which effects are complete: their snapshots are stored and the log is
     * compacted to them.
     */
    private long mCompletedSequence;

    private FileLogStorage(LogFiles files, int segmentBytes, DataFolder folder) throws IOException {
        mFiles = files;
        mSegmentBytes = segmentBytes;
        mFolder = folder;
        LogLoader loader = new LogLoader(files);
        // Logged before reading, since reading may end the process.
        sLogger.atInfo().log("log in %s: %s", files.folder(), LogSize.of(files));
        loader.load();
        sLogger.atInfo().log("log read: %s", loader);
        mRecovered = loader.recovered();
        mLastIndexes = loader.lastIndexes();
        if (!files.hardState().exists()) {
            files.hardState().write(HardStateCodec.encode(HardState.INITIAL));
        }
        mSyncMark = openSyncMark();
        try {
            mCommitMark = new MarkFile(files.commitMark());
            openSegment(loader);
        } catch (IOException e) {
            // Opening may be retried many times, so file descriptors must not leak.
            closeFiles();
            throw e;
        }
    }

    /**
     * Opens the sync mark and creates it if there is none. It is created before the first segment,
     * so a log without a sync mark is damaged.
     */
    private SyncMark openSyncMark() throws IOException {
        boolean isNew = SyncMark.read(mFiles.syncMark()) == null;
        SyncMark mark = new SyncMark(mFiles.syncMark());
        try {
            if (isNew) {
                mark.write(new SyncMark.Position(0, 0));
                mFiles.disk().sync(mark.channel());
                AtomicFile.syncFolder(mFiles.folder(), mFiles.disk());
            }
            return mark;
        } catch (IOException e) {
            mark.close();
            throw e;
        }
    }

    /**
     * Opens a data folder and creates it if it does not exist.
     *
     * @param folder holds nothing but the log
     * @param newStorageId generates the storage id of a new folder; must be random
     * @throws LaurelweirException {@code LOG_CORRUPT} or {@code SNAPSHOT_CORRUPT} if acknowledged
     *     data is damaged or missing, {@code BAD_SETTINGS_FILE} if another process has locked the
     *     folder, {@code DISK_FAILED} if the disk reports an error
     */
    public static FileLogStorage open(Path folder, LongSupplier newStorageId) {
        return open(folder, newStorageId, SEGMENT_BYTES, Disk.DEFAULT);
    }

    /**
     * Opens a data folder. A damaged log in it is set aside and replaced by an empty log with a new
     * storage id.
     *
     * @param folder holds nothing but the log
     * @param newStorageId generates the storage id of a new log; must be random
     * @throws LaurelweirException {@code BAD_SETTINGS_FILE} if another process has locked the
     *     folder, {@code DISK_FAILED} if the disk reports an error
     */
    public static FileLogStorage openOrReplaceDamaged(Path folder, LongSupplier newStorageId) {
        return openOrReplaceDamaged(folder, newStorageId, SEGMENT_BYTES, Disk.DEFAULT);
    }

    static FileLogStorage openOrReplaceDamaged(
            Path folder, LongSupplier newStorageId, int segmentBytes, Disk disk) {
        try {
            return open(folder, newStorageId, segmentBytes, disk);
        } catch (LaurelweirException e) {
            if (!DamagedLog.isDamage(e)) {
                throw e;
            }
            setAside(new LogFiles(folder, disk), e);
            return open(folder, newStorageId, segmentBytes, disk);
        }
    }

    private static void setAside(LogFiles files, LaurelweirException damage) {
        try {
            DamagedLog.setAside(files, damage);
        } catch (IOException e) {
            throw diskFailed(files.folder(), e);
        }
    }

    static FileLogStorage open(
            Path folder, LongSupplier newStorageId, int segmentBytes, Disk disk) {
        LogFiles files = new LogFiles(folder, disk.wrappingSyncFailures());
        try {
            DataFolder dataFolder = DataFolder.open(files, newStorageId);
            try {
                return new FileLogStorage(files, segmentBytes, dataFolder);
            } catch (IOException | RuntimeException e) {
                dataFolder.close();
                throw e;
            }
        } catch (IOException e) {
            throw diskFailed(folder, e);
        }
    }

    private void openSegment(LogLoader loader) throws IOException {
        if (mLastIndexes.isEmpty()) {
            startSegment(loader.firstSegment());
        } else if (loader.newestSegmentEnd() == 0) {
            startSegment(mLastIndexes.lastKey());
        } else {
            long number = mLastIndexes.lastKey();
            mSegment =
                    Segment.open(mFiles.folder(), number, loader.newestSegmentEnd(), mFiles.disk());
        }
        mSyncMark.write(mSegment.end());
        mFiles.disk().sync(mSyncMark.channel());
    }

    private void startSegment(long number) throws IOException {
        Segment next = Segment.create(mFiles.folder(), number, mFiles.disk());
        if (mSegment != null) {
            mSegment.close();
        }
        mSegment = next;
        mLastIndexes.put(number, 0L);
    }

    @Override
    public long storageId() {
        return mFolder.storageId();
    }

    @Override
    public boolean hasDamagedLog() {
        return DamagedLog.existsIn(mFiles.folder());
    }

    /**
     * {@inheritDoc} May be called only once, since the entries are not kept in memory afterwards.
     */
    @Override
    public Recovered recovered() {
        Recovered recovered = mRecovered;
        mRecovered = null;
        return recovered;
    }

    @Override
    public void persist(List<Persist> effects) {
        if (mFailed) {
            throw new LaurelweirException(
                    ResultCode.DISK_FAILED,
                    mFiles.folder() + ": an earlier sync failed, no more writes are accepted");
        }
        try {
            writeAll(effects);
        } catch (Disk.SyncFailure e) {
            // After a failed sync the operating system may have dropped the data and report success
            // for the next sync.
            mFailed = true;
            throw diskFailed(mFiles.folder(), e);
        } catch (IOException e) {
            String message = mFiles.folder() + ": " + e.getMessage();
            throw new LaurelweirException(ResultCode.DISK_FULL, message, e);
        }
    }

    @Override
    public void markCommitted(long index) {
        try {
            mCommitMark.write(index);
        } catch (IOException e) {
            sLogger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                    "the commit mark can't be written, the next start will be slower: %s", e);
        }
    }

    /**
     * Writes effects. Skips the parts that an earlier attempt, which failed later on, has
     * completed.
     */
    private void writeAll(List<Persist> effects) throws IOException {
        writeHardState(effects);
        List<LogEntry> batch = new ArrayList<>();
        for (Persist p : effects) {
            boolean isNew = p.sequence() > mCompletedSequence;
            if (isNew && p.discardLog()) {
                batch.clear();
                discardLog(p.snapshot());
            }
            if (p.sequence() > mAppendedSequence) {
                batch.addAll(p.entries());
            }
            if (isNew && p.snapshot() != null && !p.discardLog()) {
                append(batch, p.sequence());
                mCompletedSequence = p.sequence() - 1;
                batch.clear();
                compactLog(p.snapshot());
                mCompletedSequence = p.sequence();
            }
        }
        append(batch, effects.get(effects.size() - 1).sequence());
        mCompletedSequence = mAppendedSequence;
    }

    /** Writes the last hard state only, since the batch is acknowledged as a whole. */
    private void writeHardState(List<Persist> effects) throws IOException {
        HardState last = null;
        for (Persist p : effects) {
            last = p.hardState() == null ? last : p.hardState();
        }
        if (last != null) {
            mFiles.hardState().write(HardStateCodec.encode(last));
        }
    }

    /** Appends the entries of the effects up to a sequence. */
    private void append(List<LogEntry> batch, long sequence) throws IOException {
        if (!batch.isEmpty()) {
            append(batch);
        }
        mAppendedSequence = sequence;
    }

    private void append(List<LogEntry> batch) throws IOException {
        if (mSegment.size() >= mSegmentBytes) {
            startSegment(mSegment.number() + 1);
        }
        mSegment.append(batch);
        mSyncMark.write(mSegment.end());
        for (LogEntry e : batch) {
            mLastIndexes.merge(mSegment.number(), e.index(), Math::max);
        }
    }

    /** Stores a snapshot of a prefix of this log, and removes the segments that it covers. */
    private void compactLog(Snapshot snapshot) throws IOException {
        long first = mLastIndexes.firstKey();
        while (first < mSegment.number() && mLastIndexes.get(first) <= snapshot.index()) {
            first++;
        }
        writeSnapshot(snapshot, first);
        removeSegmentsBefore(first);
    }

    /** Stores a snapshot that replaces the log on disk, and starts a new log after it. */
    private void discardLog(Snapshot snapshot) throws IOException {
        long next = mSegment.number() + 1;
        writeSnapshot(snapshot, next);
        startSegment(next);
        mSyncMark.write(mSegment.end());
        removeSegmentsBefore(next);
    }

    private void writeSnapshot(Snapshot snapshot, long firstSegment) throws IOException {
        mFiles.snapshot()
                .write(SnapshotCodec.encode(new SnapshotCodec.Stored(snapshot, firstSegment)));
    }

    private void removeSegmentsBefore(long first) throws IOException {
        for (long number : List.copyOf(mLastIndexes.headMap(first).keySet())) {
            Files.deleteIfExists(Segment.path(mFiles.folder(), number));
            mLastIndexes.remove(number);
        }
    }

    private void closeFiles() throws IOException {
        mSyncMark.close();
        if (mCommitMark != null) {
            mCommitMark.close();
        }
        if (mSegment != null) {
            mSegment.close();
        }
    }

    @Override
    public void close() {
        try {
            mFiles.disk().sync(mSyncMark.channel());
            closeFiles();
            mFolder.close();
        } catch (IOException e) {
            throw diskFailed(mFiles.folder(), e);
        }
    }

    private static LaurelweirException diskFailed(Path folder, IOException e) {
        return new LaurelweirException(ResultCode.DISK_FAILED, folder + ": " + e.getMessage(), e);
    }
}
