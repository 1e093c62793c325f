package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.laurelweir.resumption.StreamRecord;

/**
 * Files with the latest records of streams in a data folder. Records are appended to the newest
 * file, and that before it is kept; older ones are removed. Used by one thread at a time.
 *
 * <p>A record that is lost costs a stream that can't go on, and one that is read too often costs
 * nothing, since it never changes. So a damaged end of a file is passed over, and the age of
 * records is not checked.
 */
final class StreamRecordFiles implements AutoCloseable {
    private static final Pattern NAME = Pattern.compile("streams-(\\d+)");

    /** Number of records that are taken over from an earlier run. */
    private static final int MAX_TAKEN_OVER = 50_000;

    private static final long MAX_FILE_BYTES = 4 << 20;

    /** A file is kept for one to two times this after its last record was written. */
    private static final Duration MAX_FILE_AGE = Duration.ofMinutes(2);

    private final Path mFolder;
    private final Disk mDisk;
    private final InstantSource mClock;
    private final SortedMap<Long, Path> mFiles = new TreeMap<>();
    private final List<StreamRecord> mTakenOver = new ArrayList<>();
    private FileChannel mNewest;
    private Instant mNewestCreated = Instant.EPOCH;

    /**
     * Opens the files in a data folder.
     *
     * @throws IOException if the folder can't be read
     */
    StreamRecordFiles(Path folder, Disk disk, InstantSource clock) throws IOException {
        mFolder = folder;
        mDisk = disk;
        mClock = clock;
        try (Stream<Path> files = Files.list(folder)) {
            files.forEach(this::addIfRecords);
        }
        // A record that was taken over before stands in two files.
        Set<StreamRecord> read = new LinkedHashSet<>();
        for (Path file : mFiles.values()) {
            read.addAll(StreamRecordCodec.decode(Files.readAllBytes(file)));
        }
        mTakenOver.addAll(read);
        int excess = mTakenOver.size() - MAX_TAKEN_OVER;
        if (excess > 0) {
            mTakenOver.subList(0, excess).clear();
        }
    }

    private void addIfRecords(Path file) {
        Matcher name = NAME.matcher(file.getFileName().toString());
        if (name.matches()) {
            mFiles.put(Long.parseLong(name.group(1)), file);
        }
    }

    /** Returns the records of earlier runs, the oldest first. */
    List<StreamRecord> takenOver() {
        return List.copyOf(mTakenOver);
    }

    /**
     * Appends records and syncs them.
     *
     * @throws IOException if the disk rejects a write or a sync; the next records go to a new file,
     *     since nothing can be read behind a damaged one
     */
    void append(List<StreamRecord> records) throws IOException {
        try {
            if (mNewest == null || isFull()) {
                rotate();
            }
            mDisk.write(mNewest, StreamRecordCodec.encode(records));
            mDisk.sync(mNewest);
        } catch (IOException e) {
            closeNewest();
            throw e;
        }
    }

    private boolean isFull() throws IOException {
        boolean isOld = !mClock.instant().isBefore(mNewestCreated.plus(MAX_FILE_AGE));
        return isOld || mNewest.position() >= MAX_FILE_BYTES;
    }

    /** Begins a new file, and removes all but the one before it. */
    private void rotate() throws IOException {
        closeNewest();
        long number = mFiles.isEmpty() ? 1 : mFiles.lastKey() + 1;
        Path file = mFolder.resolve("streams-" + number);
        mNewest =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        mNewestCreated = mClock.instant();
        mFiles.put(number, file);
        if (!mTakenOver.isEmpty()) {
            // Several starts in a row would otherwise remove the files with these records.
            mDisk.write(mNewest, StreamRecordCodec.encode(mTakenOver));
            mDisk.sync(mNewest);
            mTakenOver.clear();
        }
        while (mFiles.size() > 2) {
            Files.deleteIfExists(mFiles.remove(mFiles.firstKey()));
        }
    }

    private void closeNewest() throws IOException {
        if (mNewest != null) {
            FileChannel closed = mNewest;
            mNewest = null;
            closed.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeNewest();
    }
}
