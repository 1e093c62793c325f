package org.laurelweir.control.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamRecord;

/** Tests the files with the records of streams. */
class StreamRecordFilesTest {
    private static final Duration MINUTE = Duration.ofMinutes(1);

    @TempDir Path mFolder;

    private Instant mNow = Instant.EPOCH;
    private boolean mIsFull;

    /** A disk that rejects writes after a few bytes while it is full. */
    private final Disk mDisk =
            new Disk() {
                @Override
                public void sync(FileChannel channel) {}

                @Override
                public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
                    if (mIsFull) {
                        channel.write(bytes.limit(bytes.position() + 5));
                        throw new IOException("no space");
                    }
                    Disk.super.write(channel, bytes);
                }
            };

    private StreamRecordFiles open() throws IOException {
        return new StreamRecordFiles(mFolder, mDisk, () -> mNow);
    }

    private static StreamRecord record(long stream) {
        return new StreamRecord(stream, new StreamOrigin("svc", "v" + stream), MINUTE);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            return files.sorted().toList();
        }
    }

    /** Guards against streams that can't go on after a kill, though their records were written. */
    @Test
    void recordsAreReadAgainAfterEachOfSeveralStarts() throws IOException {
        for (long stream = 1; stream <= 5; stream++) {
            // A process that is killed does not close its files.
            open().append(List.of(record(stream)));
        }
        assertThat(open().takenOver())
                .containsExactly(record(1), record(2), record(3), record(4), record(5));
    }

    /** Guards against losing all records because the last one is torn. */
    @Test
    void recordsBeforeADamagedOneAreRead() throws IOException {
        open().append(List.of(record(1), record(2)));
        Path file = files().get(0);
        byte[] bytes = Files.readAllBytes(file);
        for (int length = bytes.length / 2; length < bytes.length; length++) {
            Files.write(file, Arrays.copyOf(bytes, length));
            assertThat(open().takenOver()).containsExactly(record(1));
        }
    }

    /** Guards against records that can't be read since they stand behind a damaged one. */
    @Test
    void recordsAfterAFullDiskAreRead() throws IOException {
        StreamRecordFiles files = open();
        files.append(List.of(record(1)));
        mIsFull = true;
        assertThatThrownBy(() -> files.append(List.of(record(2)))).isInstanceOf(IOException.class);
        mIsFull = false;
        files.append(List.of(record(3)));
        assertThat(open().takenOver()).containsExactly(record(1), record(3));
    }

    /** Guards against the same where the disk is full when a process takes over earlier records. */
    @Test
    void recordsAfterADiskThatIsFullAtTheStartAreRead() throws IOException {
        open().append(List.of(record(1)));
        StreamRecordFiles files = open();
        mIsFull = true;
        assertThatThrownBy(() -> files.append(List.of(record(2)))).isInstanceOf(IOException.class);
        mIsFull = false;
        files.append(List.of(record(3)));
        assertThat(open().takenOver()).containsExactly(record(1), record(3));
    }

    /** Guards against files that fill the disk. */
    @Test
    void filesOlderThanTheOneBeforeAreRemoved() throws IOException {
        StreamRecordFiles files = open();
        for (long stream = 1; stream <= 5; stream++) {
            files.append(List.of(record(stream)));
            mNow = mNow.plus(Duration.ofMinutes(2));
        }
        assertThat(files()).hasSize(2);
        assertThat(open().takenOver()).containsExactly(record(4), record(5));
    }
}
