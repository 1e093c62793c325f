package org.laurelweir.control.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Tests the state that a restart recovers after normal stops, interrupted writes and damage. */
class FileLogStorageTest {
    private static final int SEGMENT_BYTES = 300;
    private static final int MAX_BATCHES = 12;

    private Path mFolder;

    @BeforeTry
    void createFolder() throws IOException {
        mFolder = Files.createTempDirectory("log");
    }

    @AfterTry
    void removeFolder() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
        Files.delete(mFolder);
    }

    private FileLogStorage open() {
        return FileLogStorage.open(mFolder, () -> 7, SEGMENT_BYTES, channel -> {});
    }

    private static void assertFails(ResultCode code, ThrowingCallable call) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        LaurelweirException.class,
                        e -> assertThat(e.getCode()).as(e.toString()).isEqualTo(code));
    }

    @Property(seed = "1", tries = 80, shrinking = ShrinkingMode.OFF)
    void restartRecoversPersistedState(@ForAll long seed, @ForAll @IntRange(max = 6) int restarts) {
        PersistGenerator generator = new PersistGenerator(seed);
        try (MemoryLogStorage expected = new MemoryLogStorage(7)) {
            for (int r = 0; r <= restarts; r++) {
                try (FileLogStorage storage = open()) {
                    assertThat(storage.storageId()).isEqualTo(7);
                    assertThat(PersistGenerator.render(storage.recovered()))
                            .isEqualTo(PersistGenerator.render(expected.recovered()));
                    for (int i = 0; i < 5; i++) {
                        List<Persist> batch = generator.nextBatch();
                        storage.persist(batch);
                        expected.persist(batch);
                    }
                }
            }
        }
    }

    // The commit mark shortens the time until a restarted instance serves. It must survive the kill
    // of a process, and be ignored if a power loss damaged it.
    @Example
    void keepsTheCommitMarkAcrossRestartsAndIgnoresADamagedOne() throws IOException {
        PersistGenerator generator = new PersistGenerator(5);
        try (FileLogStorage storage = open()) {
            storage.persist(generator.nextBatch());
            storage.markCommitted(3);
            storage.markCommitted(2);
        }
        try (FileLogStorage storage = open()) {
            assertThat(storage.recovered().commitIndex()).isEqualTo(2);
        }
        Path mark = mFolder.resolve("commit-mark");
        damage(mark, 4, true);
        try (FileLogStorage storage = open()) {
            assertThat(storage.recovered().commitIndex()).isZero();
        }
    }

    // Guards against the loss of an acknowledged batch when the power fails during the next write.
    // Only a part of that write reaches the disk, with blocks missing at the end or in the middle.
    // The sync mark and the batch starts in the records tell the interrupted batch from
    // acknowledged ones.
    @Property(seed = "2", tries = 100, shrinking = ShrinkingMode.OFF)
    void truncatesAnInterruptedWrite(
            @ForAll long seed, @ForAll @IntRange(max = 999) int cut, @ForAll boolean hole)
            throws IOException {
        PersistGenerator generator = new PersistGenerator(seed);
        Path markFile = mFolder.resolve("sync-mark");
        String acknowledged;
        byte[] markBefore;
        try (FileLogStorage storage = open()) {
            acknowledged = persistBatches(storage, generator, seed);
            markBefore = Files.readAllBytes(markFile);
            storage.persist(List.of(new Persist(99, null, null, false, generator.nextEntries())));
        }
        Files.write(markFile, markBefore);
        SyncMark.Position mark = SyncMark.read(markFile);
        long newest = Segment.numbersIn(mFolder).last();
        int start = newest == mark.segment() ? (int) mark.offset() : Segment.HEADER.length;
        Path segment = Segment.path(mFolder, newest);
        int length = (int) Files.size(segment) - start;
        damage(segment, start + length * cut / 1000, hole);

        try (FileLogStorage storage = open()) {
            assertThat(PersistGenerator.render(storage.recovered())).startsWith(acknowledged);
        }
    }

    private static String persistBatches(
            FileLogStorage storage, PersistGenerator generator, long seed) {
        try (MemoryLogStorage expected = new MemoryLogStorage(7)) {
            for (long i = Math.floorMod(seed, MAX_BATCHES); i >= 0; i--) {
                List<Persist> batch = generator.nextBatch();
                storage.persist(batch);
                expected.persist(batch);
            }
            return PersistGenerator.render(expected.recovered());
        }
    }

    /** Truncates a file at an offset, or zeroes up to ten bytes there. */
    private static void damage(Path file, int offset, boolean hole) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        if (!hole) {
            Files.write(file, Arrays.copyOf(bytes, offset));
            return;
        }
        Arrays.fill(bytes, offset, Math.min(bytes.length, offset + 10), (byte) 0);
        Files.write(file, bytes);
    }

    private Path newestSegment() throws IOException {
        return Segment.path(mFolder, Segment.numbersIn(mFolder).last());
    }

    // Changes one byte of any segment after its records were acknowledged. The replica must not
    // start: if it dropped an acknowledged record, the quorum that holds the record could be lost.
    @Property(seed = "3", tries = 100, shrinking = ShrinkingMode.OFF)
    void rejectsADamagedSegment(@ForAll long seed, @ForAll @IntRange(max = 9999) int where)
            throws IOException {
        try (FileLogStorage storage = open()) {
            persistBatches(storage, new PersistGenerator(seed), seed);
        }
        Path segment = segmentAt(where);
        flipBit(segment, where % (int) Files.size(segment));
        assertFails(ResultCode.LOG_CORRUPT, this::open);
    }

    // Truncates any segment after its records were acknowledged. The replica must not start, unless
    // later records had replaced all records that were cut off.
    @Property(seed = "4", tries = 100, shrinking = ShrinkingMode.OFF)
    void rejectsATruncatedSegment(@ForAll long seed, @ForAll @IntRange(max = 9999) int where)
            throws IOException {
        String acknowledged;
        try (FileLogStorage storage = open()) {
            acknowledged = persistBatches(storage, new PersistGenerator(seed), seed);
        }
        Path segment = segmentAt(where);
        damage(segment, where % (int) Files.size(segment), false);
        try (FileLogStorage storage = open()) {
            assertThat(segment).isNotEqualTo(newestSegment());
            assertThat(PersistGenerator.render(storage.recovered())).isEqualTo(acknowledged);
        } catch (LaurelweirException e) {
            assertThat(e.getCode()).isEqualTo(ResultCode.LOG_CORRUPT);
        }
    }

    private Path segmentAt(int where) throws IOException {
        List<Long> segments = List.copyOf(Segment.numbersIn(mFolder));
        return Segment.path(mFolder, segments.get(where % segments.size()));
    }

    // Changes a byte of an acknowledged batch that another batch follows, and takes the sync mark
    // back as a power loss may do. The replica must not start: the second batch proves that the
    // first one was synced.
    @Property(seed = "5", tries = 100, shrinking = ShrinkingMode.OFF)
    void rejectsDamageBeforeALaterBatch(@ForAll @IntRange(max = 9999) int where)
            throws IOException {
        PersistGenerator generator = new PersistGenerator(where);
        Path mark = mFolder.resolve("sync-mark");
        byte[] markBefore;
        long end;
        try (FileLogStorage storage = open()) {
            markBefore = Files.readAllBytes(mark);
            storage.persist(List.of(new Persist(1, null, null, false, generator.nextEntries())));
            end = Files.size(newestSegment());
            storage.persist(List.of(new Persist(2, null, null, false, generator.nextEntries())));
        }
        Files.write(mark, markBefore);
        flipBit(newestSegment(), 8 + where % (int) (end - 8));
        assertFails(ResultCode.LOG_CORRUPT, this::open);
    }

    private static void flipBit(Path file, int offset) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        bytes[offset] ^= 0x10;
        Files.write(file, bytes);
    }

    // The replica must not start if one of these files is damaged, truncated or missing.
    @Property(seed = "6", tries = 100, shrinking = ShrinkingMode.OFF)
    void rejectsADamagedMetadataFile(
            @ForAll @IntRange(max = 9999) int where, @ForAll boolean cutOff) throws IOException {
        try (FileLogStorage storage = open()) {
            storage.persist(List.of(new PersistGenerator(where).snapshotReplacingLog()));
        }
        String name = List.of("snapshot", "hard-state", "sync-mark", "identity").get(where % 4);
        Path file = mFolder.resolve(name);
        byte[] bytes = Files.readAllBytes(file);
        int offset = where % bytes.length;
        if (cutOff) {
            Files.write(file, Arrays.copyOf(bytes, offset));
        } else {
            flipBit(file, offset);
        }
        boolean isSnapshot = name.equals("snapshot");
        assertFails(isSnapshot ? ResultCode.SNAPSHOT_CORRUPT : ResultCode.LOG_CORRUPT, this::open);
        Files.delete(file);
        assertFails(ResultCode.LOG_CORRUPT, this::open);
    }

    // The replica must stop with DISK_FAILED at a failed sync and acknowledge nothing after it,
    // even if the next sync reports success: the operating system may have dropped the failed
    // write.
    @Example
    void neverRetriesAfterAFailedSync() {
        AtomicBoolean fails = new AtomicBoolean();
        Disk disk = channel -> failIf(fails.get());
        List<Persist> batch = new PersistGenerator(1).nextBatch();
        try (FileLogStorage storage = FileLogStorage.open(mFolder, () -> 7, SEGMENT_BYTES, disk)) {
            fails.set(true);
            assertFails(ResultCode.DISK_FAILED, () -> storage.persist(batch));
            fails.set(false);
            assertFails(ResultCode.DISK_FAILED, () -> storage.persist(batch));
        }
    }

    private static void failIf(boolean fails) throws IOException {
        if (fails) {
            throw new IOException("no space");
        }
    }

    @Example
    void locksTheFolderAgainstASecondOpen() {
        try (FileLogStorage storage = open()) {
            assertThat(storage.storageId()).isEqualTo(7);
            assertFails(ResultCode.BAD_SETTINGS_FILE, this::open);
        }
    }
}
