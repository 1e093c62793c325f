package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.laurelweir.consensus.LogEntry;

/**
 * The newest segment of the log, to which records are appended. A segment's file name holds its
 * number; numbers increase by one.
 */
final class Segment implements AutoCloseable {
    /** The first bytes of every segment. */
    static final byte[] HEADER = {'l', 'w', 'l', 'o', 'g', 0, 0, 1};

    private static final String PREFIX = "log-";
    private static final Pattern NAME = Pattern.compile(PREFIX + "([0-9a-f]{16})");

    private final long mNumber;
    private final FileChannel mChannel;
    private final Disk mDisk;
    private long mSize;

    private Segment(long number, FileChannel channel, Disk disk) throws IOException {
        mNumber = number;
        mChannel = channel;
        mDisk = disk;
        mSize = channel.size();
    }

    /**
     * Creates an empty segment. It replaces a segment whose creation was interrupted by a crash.
     */
    static Segment create(Path folder, long number, Disk disk) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        path(folder, number),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        return prepare(
                channel,
                () -> {
                    disk.write(channel, ByteBuffer.wrap(HEADER));
                    disk.sync(channel);
                    AtomicFile.syncFolder(folder, disk);
                    return new Segment(number, channel, disk);
                });
    }

    /** Opens a segment to append at an offset, and truncates the segment there. */
    static Segment open(Path folder, long number, long end, Disk disk) throws IOException {
        FileChannel channel = FileChannel.open(path(folder, number), StandardOpenOption.WRITE);
        return prepare(
                channel,
                () -> {
                    channel.truncate(end);
                    channel.position(end);
                    disk.sync(channel);
                    return new Segment(number, channel, disk);
                });
    }

    /**
     * Runs a preparation and closes the channel if it fails. Opening may be retried many times, so
     * channels must not leak.
     */
    private static Segment prepare(FileChannel channel, Preparation preparation)
            throws IOException {
        try {
            return preparation.run();
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Prepares a channel so that records can be appended to it. */
    @FunctionalInterface
    private interface Preparation {
        Segment run() throws IOException;
    }

    static Path path(Path folder, long number) {
        return folder.resolve(PREFIX + String.format("%016x", number));
    }

    /** Returns the numbers of all segments in a folder, in ascending order. */
    static SortedSet<Long> numbersIn(Path folder) throws IOException {
        SortedSet<Long> numbers = new TreeSet<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.map(f -> NAME.matcher(f.getFileName().toString()))
                    .filter(Matcher::matches)
                    .forEach(name -> numbers.add(Long.parseLong(name.group(1), 16)));
        }
        return numbers;
    }

    /**
     * Appends entries as one batch and syncs them. Overwrites the remains of an earlier append that
     * failed.
     */
    void append(List<LogEntry> entries) throws IOException {
        int bytes = entries.stream().mapToInt(RecordCodec::sizeOf).sum();
        ByteBuffer out = ByteBuffer.allocate(bytes);
        for (LogEntry e : entries) {
            RecordCodec.encode(e, (int) mSize, out);
        }
        if (mChannel.size() > mSize) {
            mChannel.truncate(mSize);
        }
        mChannel.position(mSize);
        mDisk.write(mChannel, out.flip());
        mDisk.sync(mChannel);
        mSize += bytes;
    }

    long number() {
        return mNumber;
    }

    long size() {
        return mSize;
    }

    SyncMark.Position end() {
        return new SyncMark.Position(mNumber, mSize);
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }
}
