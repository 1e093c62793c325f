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
 * Keeps the log in a data folder. Entries are only ever appended: one with an index already used
 * replaces what came before it, so that no crash can leave a log cut and not yet continued.
 */
public final class FileLogStorage implements LogStorage {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * A segment that has reached this size is followed by a new one. A start reads one segment at a
     * time whole; twice the bytes between two snapshots in the smallest heap that is in use, 64 MB.
     */
    static final int SEGMENT_BYTES = 4 << 20;

    private final LogFiles mFiles;
    private final int mSegmentBytes;
    private final DataFolder mFolder;
    private final SyncMark mMark;
    private MarkFile mCommitMark;
    private final TreeMap<Long, Long> mLastIndexes;
    private Recovered mRecovered;
    private Segment mSegment;
    private boolean mFailed;

    /** Up to which sequence the entries of effects are in the log. */
    private long mAppended;

    /** Up to which sequence the snapshots of effects are kept, and the log cut to them. */
    private long mDone;

    private FileLogStorage(LogFiles files, int segmentBytes, DataFolder folder) throws IOException {
        mFiles = files;
        mSegmentBytes = segmentBytes;
        mFolder = folder;
        LogLoader loader = new LogLoader(files);
        // Before the reading, which may be what a process ends in.
        sLogger.atInfo().log("log in %s: %s", files.folder(), LogSize.of(files));
        loader.load();
        sLogger.atInfo().log("log read: %s", loader);
        mRecovered = loader.recovered();
        mLastIndexes = loader.lastIndexes();
        if (!files.hardState().exists()) {
            files.hardState().write(HardStateCodec.encode(HardState.INITIAL));
        }
        mMark = openMark();
        try {
            mCommitMark = new MarkFile(files.commitMark());
            openSegment(loader);
        } catch (IOException e) {
            // The opening may be tried many times, and descriptors are few.
            closeFiles();
            throw e;
        }
    }

    /** The mark is there before the first segment, so that a log without it was damaged. */
    private SyncMark openMark() throws IOException {
        boolean isNew = SyncMark.read(mFiles.syncMark()) == null;
        SyncMark mark = new SyncMark(mFiles.syncMark());
        try {
            if (isNew) {
                mark.write(new SyncMark.Position(0, 0));
                mFiles.disk().sync(mark.channel());
                WholeFile.syncFolder(mFiles.folder(), mFiles.disk());
            }
            return mark;
        } catch (IOException e) {
            mark.close();
            throw e;
        }
    }

    /**
     * Opens a data folder, or creates it.
     *
     * @param folder holds nothing else
     * @param newStorageId draws the storage id of a new folder; must be random
     * @throws LaurelweirException {@code LOG_CORRUPT} or {@code SNAPSHOT_CORRUPT} if something
     *     acknowledged is damaged or missing, {@code BAD_SETTINGS_FILE} if another process has the
     *     folder, {@code DISK_FAILED} if the disk reported an error
     */
    public static FileLogStorage open(Path folder, LongSupplier newStorageId) {
        return open(folder, newStorageId, SEGMENT_BYTES, Disk.DEFAULT);
    }

    /**
     * Opens a data folder; a log in it that is damaged is set aside, and an empty one begun under
     * an id of its own.
     *
     * @param folder holds nothing else
     * @param newStorageId draws the storage id of a new log; must be random
     * @throws LaurelweirException {@code BAD_SETTINGS_FILE} if another process has the folder,
     *     {@code DISK_FAILED} if the disk reported an error
     */
    public static FileLogStorage openOrBeginAnew(Path folder, LongSupplier newStorageId) {
        return openOrBeginAnew(folder, newStorageId, SEGMENT_BYTES, Disk.DEFAULT);
    }

    static FileLogStorage openOrBeginAnew(
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
        LogFiles files = new LogFiles(folder, disk.tellingSyncFailures());
        try {
            DataFolder taken = DataFolder.take(files, newStorageId);
            try {
                return new FileLogStorage(files, segmentBytes, taken);
            } catch (IOException | RuntimeException e) {
                taken.close();
                throw e;
            }
        } catch (IOException e) {
            throw diskFailed(folder, e);
        }
    }

    private void openSegment(LogLoader loader) throws IOException {
        if (mLastIndexes.isEmpty()) {
            startSegment(loader.firstSegment());
        } else if (loader.end() == 0) {
            startSegment(mLastIndexes.lastKey());
        } else {
            long number = mLastIndexes.lastKey();
            mSegment = Segment.open(mFiles.folder(), number, loader.end(), mFiles.disk());
        }
        mMark.write(mSegment.end());
        mFiles.disk().sync(mMark.channel());
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
    public boolean isBesideDamagedLog() {
        return DamagedLog.isBeside(mFiles.folder());
    }

    /** {@inheritDoc} May be called once; the entries are not kept. */
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
                    ResultCode.DISK_FAILED, mFiles.folder() + " has failed before");
        }
        try {
            writeAll(effects);
        } catch (Disk.SyncFailure e) {
            // After a failed sync the system may have dropped the data and call the next sync good.
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
                    "commit mark not written, the next start will be slower: %s", e);
        }
    }

    /** Leaves out what an earlier try that was refused has carried out. */
    private void writeAll(List<Persist> effects) throws IOException {
        writeHardState(effects);
        List<LogEntry> batch = new ArrayList<>();
        for (Persist p : effects) {
            boolean isNew = p.sequence() > mDone;
            if (isNew && p.discardLog()) {
                batch.clear();
                discardLog(p.snapshot());
            }
            if (p.sequence() > mAppended) {
                batch.addAll(p.entries());
            }
            if (isNew && p.snapshot() != null && !p.discardLog()) {
                append(batch, p.sequence());
                mDone = p.sequence() - 1;
                batch.clear();
                compactLog(p.snapshot());
                mDone = p.sequence();
            }
        }
        append(batch, effects.get(effects.size() - 1).sequence());
        mDone = mAppended;
    }

    /** Only the last one counts: the batch is acknowledged as a whole. */
    private void writeHardState(List<Persist> effects) throws IOException {
        HardState last = null;
        for (Persist p : effects) {
            last = p.hardState() == null ? last : p.hardState();
        }
        if (last != null) {
            mFiles.hardState().write(HardStateCodec.encode(last));
        }
    }

    /** Appends what the effects up to a sequence bring. */
    private void append(List<LogEntry> batch, long sequence) throws IOException {
        if (!batch.isEmpty()) {
            append(batch);
        }
        mAppended = sequence;
    }

    private void append(List<LogEntry> batch) throws IOException {
        if (mSegment.size() >= mSegmentBytes) {
            startSegment(mSegment.number() + 1);
        }
        mSegment.append(batch);
        mMark.write(mSegment.end());
        for (LogEntry e : batch) {
            mLastIndexes.merge(mSegment.number(), e.index(), Math::max);
        }
    }

    /** Keeps a snapshot of a part of this log, and removes the segments it covers. */
    private void compactLog(Snapshot snapshot) throws IOException {
        long first = mLastIndexes.firstKey();
        while (first < mSegment.number() && mLastIndexes.get(first) <= snapshot.index()) {
            first++;
        }
        writeSnapshot(snapshot, first);
        removeSegmentsBefore(first);
    }

    /** Keeps a snapshot that the log on disk does not lead to, and begins the log anew after it. */
    private void discardLog(Snapshot snapshot) throws IOException {
        long next = mSegment.number() + 1;
        writeSnapshot(snapshot, next);
        startSegment(next);
        mMark.write(mSegment.end());
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
        mMark.close();
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
            mFiles.disk().sync(mMark.channel());
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
