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

/**
 * Tests a log whose disk rejects writes for a while, after any part of the bytes has been written.
 */
class FullDiskTest {
    private static final int SEGMENT_BYTES = 300;
    private static final int BATCHES = 12;
    private static final int MAX_TRIES = 10_000;

    private Path mFolder;
    private boolean mIsFull;

    /** While the disk is full, one in this many writes fails on average. */
    private int mWritesPerFailure;

    private SplittableRandom mRandom = new SplittableRandom(1);

    private final Disk mDisk =
            new Disk() {
                @Override
                public void sync(FileChannel channel) {}

                @Override
                public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
                    if (mIsFull && mRandom.nextInt(mWritesPerFailure) == 0) {
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

    private static boolean tryPersist(FileLogStorage storage, List<Persist> batch) {
        try {
            storage.persist(batch);
            return true;
        } catch (LaurelweirException e) {
            assertThat(e.getCode()).isEqualTo(ResultCode.DISK_FULL);
            return false;
        }
    }

    // Guards against acknowledged entries that are lost or duplicated when a batch is retried after
    // the disk rejected a write.
    @Property(seed = "11", tries = 150, shrinking = ShrinkingMode.OFF)
    void retriedBatchIsInTheLogOnce(@ForAll long seed) {
        PersistGenerator generator = new PersistGenerator(seed);
        mRandom = new SplittableRandom(seed);
        mWritesPerFailure = 6;
        try (MemoryLogStorage expected = new MemoryLogStorage(7)) {
            try (FileLogStorage storage = open()) {
                mIsFull = true;
                for (int i = 0; i < BATCHES; i++) {
                    List<Persist> batch = new ArrayList<>(generator.nextBatch());
                    if (!tryPersist(storage, batch)) {
                        batch.addAll(generator.nextBatch());
                    }
                    int tries = 0;
                    while (!tryPersist(storage, batch)) {
                        assertThat(++tries).isLessThan(MAX_TRIES);
                    }
                    expected.persist(batch);
                }
                mIsFull = false;
            }
            try (FileLogStorage storage = open()) {
                assertThat(PersistGenerator.render(storage.recovered()))
                        .isEqualTo(PersistGenerator.render(expected.recovered()));
            }
        }
    }

    // Guards against a start that rejects its log, or lacks acknowledged entries, after a full disk
    // interrupted a write.
    @Property(seed = "12", tries = 150, shrinking = ShrinkingMode.OFF)
    void restartAfterAFailedWriteRecoversAcknowledgedEntries(@ForAll long seed) {
        PersistGenerator generator = new PersistGenerator(seed);
        mRandom = new SplittableRandom(seed);
        mWritesPerFailure = 1;
        String acknowledged;
        try (MemoryLogStorage expected = new MemoryLogStorage(7);
                FileLogStorage storage = open()) {
            for (int i = 0; i < BATCHES; i++) {
                List<Persist> batch = generator.nextBatch();
                storage.persist(batch);
                expected.persist(batch);
            }
            acknowledged = PersistGenerator.render(expected.recovered());
            mIsFull = true;
            Persist rejected = new Persist(99, null, null, false, generator.nextEntries());
            assertThat(tryPersist(storage, List.of(rejected))).isFalse();
            assertThat(tryPersist(storage, List.of(rejected))).isFalse();
            mIsFull = false;
        }
        try (FileLogStorage storage = open()) {
            assertThat(PersistGenerator.render(storage.recovered())).startsWith(acknowledged);
        }
    }

    // Guards against files that each failed attempt to write a snapshot leaves on a full disk.
    @Example
    void failedSnapshotWritesTakeNoDiskSpace() throws IOException {
        PersistGenerator generator = new PersistGenerator(3);
        mWritesPerFailure = 1;
        try (FileLogStorage storage = open()) {
            storage.persist(List.of(generator.snapshotReplacingLog()));
            Persist snapshot = generator.snapshotWithEntries();
            mIsFull = true;
            assertThat(tryPersist(storage, List.of(snapshot))).isFalse();
            long before = folderBytes();
            for (int i = 0; i < 20; i++) {
                assertThat(tryPersist(storage, List.of(snapshot))).isFalse();
            }
            assertThat(folderBytes()).isLessThanOrEqualTo(before + SEGMENT_BYTES);
            mIsFull = false;
            assertThat(tryPersist(storage, List.of(snapshot))).isTrue();
        }
    }

    private long folderBytes() throws IOException {
        long bytes = 0;
        for (Path f : files()) {
            bytes += Files.size(f);
        }
        return bytes;
    }
}
