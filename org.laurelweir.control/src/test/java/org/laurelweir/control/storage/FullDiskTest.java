package org.laurelweir.control.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** A log whose disk refuses writes for a while, after any part of what was to be written. */
class FullDiskTest {
    private static final int SEGMENT_BYTES = 300;
    private static final int BATCHES = 12;
    private static final int MOST_TRIES = 10_000;

    private Path mFolder;
    private boolean mIsFull;
    private int mOneInSo;
    private SplittableRandom mRandom = new SplittableRandom(1);

    private final Disk mDisk =
            new Disk() {
                @Override
                public void sync(FileChannel channel) {}

                @Override
                public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
                    if (mIsFull && mRandom.nextInt(mOneInSo) == 0) {
                        channel.write(bytes.slice().limit(mRandom.nextInt(bytes.remaining())));
                        throw new IOException("No space left on device");
                    }
                    Disk.super.write(channel, bytes);
                }
            };

    @BeforeTry
    void createFolder() throws IOException {
        mFolder = Files.createTempDirectory("full");
        mIsFull = false;
    }

    @AfterTry
    void removeFolder() throws IOException {
        for (Path f : files()) {
            Files.delete(f);
        }
        Files.delete(mFolder);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            return files.toList();
        }
    }

    private FileLogStorage open() {
        return FileLogStorage.open(mFolder, () -> 7, SEGMENT_BYTES, mDisk);
    }

    private static boolean isTaken(FileLogStorage storage, List<Persist> batch) {
        try {
            storage.persist(batch);
            return true;
        } catch (LaurelweirException e) {
            assertThat(e.getCode()).isEqualTo(ResultCode.DISK_FULL);
            return false;
        }
    }

    // What had been acknowledged was gone, or twice in the log, after a disk had refused a write.
    @Property(seed = "11", tries = 150, shrinking = ShrinkingMode.OFF)
    void whatIsTriedAgainIsInTheLogOnce(@ForAll long seed) {
        PersistSequence sequence = new PersistSequence(seed);
        mRandom = new SplittableRandom(seed);
        mOneInSo = 6;
        try (MemoryLogStorage expected = new MemoryLogStorage(7)) {
            try (FileLogStorage storage = open()) {
                mIsFull = true;
                for (int i = 0; i < BATCHES; i++) {
                    List<Persist> batch = new ArrayList<>(sequence.nextBatch());
                    if (!isTaken(storage, batch)) {
                        batch.addAll(sequence.nextBatch());
                    }
                    int tries = 0;
                    while (!isTaken(storage, batch)) {
                        assertThat(++tries).isLessThan(MOST_TRIES);
                    }
                    expected.persist(batch);
                }
                mIsFull = false;
            }
            try (FileLogStorage storage = open()) {
                assertThat(PersistSequence.render(storage.recovered()))
                        .isEqualTo(PersistSequence.render(expected.recovered()));
            }
        }
    }

    // A start refused its own log, or lacked what was acknowledged, after a full disk had cut off a
    // write.
    @Property(seed = "12", tries = 150, shrinking = ShrinkingMode.OFF)
    void aStartAfterARefusedWriteFindsWhatWasAcknowledged(@ForAll long seed) {
        PersistSequence sequence = new PersistSequence(seed);
        mRandom = new SplittableRandom(seed);
        mOneInSo = 1;
        String acknowledged;
        try (MemoryLogStorage expected = new MemoryLogStorage(7);
                FileLogStorage storage = open()) {
            for (int i = 0; i < BATCHES; i++) {
                List<Persist> batch = sequence.nextBatch();
                storage.persist(batch);
                expected.persist(batch);
            }
            acknowledged = PersistSequence.render(expected.recovered());
            mIsFull = true;
            Persist refused = new Persist(99, null, null, false, sequence.append());
            assertThat(isTaken(storage, List.of(refused))).isFalse();
            assertThat(isTaken(storage, List.of(refused))).isFalse();
            mIsFull = false;
        }
        try (FileLogStorage storage = open()) {
            assertThat(PersistSequence.render(storage.recovered())).startsWith(acknowledged);
        }
    }

    // Each try to write a snapshot left something on a disk that had no room for it.
    @Example
    void triesThatAreRefusedTakeNoRoom() throws IOException {
        PersistSequence sequence = new PersistSequence(3);
        mOneInSo = 1;
        try (FileLogStorage storage = open()) {
            storage.persist(List.of(sequence.discard()));
            Persist snapshot = sequence.snapshotWithEntries();
            mIsFull = true;
            assertThat(isTaken(storage, List.of(snapshot))).isFalse();
            long before = bytes();
            for (int i = 0; i < 20; i++) {
                assertThat(isTaken(storage, List.of(snapshot))).isFalse();
            }
            assertThat(bytes()).isLessThanOrEqualTo(before + SEGMENT_BYTES);
            mIsFull = false;
            assertThat(isTaken(storage, List.of(snapshot))).isTrue();
        }
    }

    private long bytes() throws IOException {
        long bytes = 0;
        for (Path f : files()) {
            bytes += Files.size(f);
        }
        return bytes;
    }
}
