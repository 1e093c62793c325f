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

/** What a restart finds on disk, after ordinary ends, cut-off writes and damage. */
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
    void restartFindsWhatWasPersisted(@ForAll long seed, @ForAll @IntRange(max = 6) int restarts) {
        PersistSequence sequence = new PersistSequence(seed);
        try (MemoryLogStorage expected = new MemoryLogStorage(7)) {
            for (int r = 0; r <= restarts; r++) {
                try (FileLogStorage storage = open()) {
                    assertThat(storage.storageId()).isEqualTo(7);
                    assertThat(PersistSequence.render(storage.recovered()))
                            .isEqualTo(PersistSequence.render(expected.recovered()));
                    for (int i = 0; i < 5; i++) {
                        List<Persist> batch = sequence.nextBatch();
                        storage.persist(batch);
                        expected.persist(batch);
                    }
                }
            }
        }
    }

    // Callers see: nothing is served for longer after a start. Order: the process notes what was
    // committed and is killed; or the note is damaged by a loss of power. Why: the note is read
    // where it is whole, and passed over where not.
    @Example
    void keepsTheCommitMarkAcrossAKillAndPassesOverADamagedOne() throws IOException {
        PersistSequence sequence = new PersistSequence(5);
        try (FileLogStorage storage = open()) {
            storage.persist(sequence.nextBatch());
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

    // A caller's accepted change stays; one not yet accepted may be gone. Order: a batch is synced
    // and acknowledged; power fails while the next is written, so that only a part of it reaches
    // the disk, with blocks missing at its end or in its middle. Why: the mark and the batches'
    // starts tell the cut-off batch from those acknowledged.
    @Property(seed = "2", tries = 100, shrinking = ShrinkingMode.OFF)
    void cutsBackAWriteThatWasCutOff(
            @ForAll long seed, @ForAll @IntRange(max = 999) int cut, @ForAll boolean hole)
            throws IOException {
        PersistSequence sequence = new PersistSequence(seed);
        Path markFile = mFolder.resolve("sync-mark");
        String acknowledged;
        byte[] markBefore;
        try (FileLogStorage storage = open()) {
            acknowledged = persistSome(storage, sequence, seed);
            markBefore = Files.readAllBytes(markFile);
            storage.persist(List.of(new Persist(99, null, null, false, sequence.append())));
        }
        Files.write(markFile, markBefore);
        SyncMark.Position mark = SyncMark.read(markFile);
        long newest = Segment.numbersIn(mFolder).last();
        int start = newest == mark.segment() ? (int) mark.offset() : Segment.HEADER.length;
        Path segment = Segment.path(mFolder, newest);
        int length = (int) Files.size(segment) - start;
        damage(segment, start + length * cut / 1000, hole);

        try (FileLogStorage storage = open()) {
            assertThat(PersistSequence.render(storage.recovered())).startsWith(acknowledged);
        }
    }

    private static String persistSome(FileLogStorage storage, PersistSequence sequence, long seed) {
        try (MemoryLogStorage expected = new MemoryLogStorage(7)) {
            for (long i = Math.floorMod(seed, MAX_BATCHES); i >= 0; i--) {
                List<Persist> batch = sequence.nextBatch();
                storage.persist(batch);
                expected.persist(batch);
            }
            return PersistSequence.render(expected.recovered());
        }
    }

    /** Cuts a file at an offset, or zeroes up to ten bytes there. */
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

    // The replica does not start, with LOG_CORRUPT.
    // Order: records are acknowledged, the process ends; one byte of any segment changes on disk.
    // Why: dropping an acknowledged record could take it from the quorum that holds it.
    @Property(seed = "3", tries = 100, shrinking = ShrinkingMode.OFF)
    void refusesADamagedSegment(@ForAll long seed, @ForAll @IntRange(max = 9999) int where)
            throws IOException {
        try (FileLogStorage storage = open()) {
            persistSome(storage, new PersistSequence(seed), seed);
        }
        Path segment = anySegment(where);
        flip(segment, where % (int) Files.size(segment));
        assertFails(ResultCode.LOG_CORRUPT, this::open);
    }

    // The replica does not start, or nothing is missing: what was cut off had been replaced.
    // Order and reason as above, but a segment has lost its end.
    @Property(seed = "4", tries = 100, shrinking = ShrinkingMode.OFF)
    void refusesASegmentCutShort(@ForAll long seed, @ForAll @IntRange(max = 9999) int where)
            throws IOException {
        String acknowledged;
        try (FileLogStorage storage = open()) {
            acknowledged = persistSome(storage, new PersistSequence(seed), seed);
        }
        Path segment = anySegment(where);
        damage(segment, where % (int) Files.size(segment), false);
        try (FileLogStorage storage = open()) {
            assertThat(segment).isNotEqualTo(newestSegment());
            assertThat(PersistSequence.render(storage.recovered())).isEqualTo(acknowledged);
        } catch (LaurelweirException e) {
            assertThat(e.getCode()).isEqualTo(ResultCode.LOG_CORRUPT);
        }
    }

    private Path anySegment(int where) throws IOException {
        List<Long> segments = List.copyOf(Segment.numbersIn(mFolder));
        return Segment.path(mFolder, segments.get(where % segments.size()));
    }

    // The replica does not start, with LOG_CORRUPT, though the mark has been lost with the power.
    // Order: two batches are acknowledged; a byte of the first one changes on disk.
    // Why: the second batch was begun only after the first had been synced.
    @Property(seed = "5", tries = 100, shrinking = ShrinkingMode.OFF)
    void refusesDamageBeforeALaterBatch(@ForAll @IntRange(max = 9999) int where)
            throws IOException {
        PersistSequence sequence = new PersistSequence(where);
        Path mark = mFolder.resolve("sync-mark");
        byte[] markBefore;
        long end;
        try (FileLogStorage storage = open()) {
            markBefore = Files.readAllBytes(mark);
            storage.persist(List.of(new Persist(1, null, null, false, sequence.append())));
            end = Files.size(newestSegment());
            storage.persist(List.of(new Persist(2, null, null, false, sequence.append())));
        }
        Files.write(mark, markBefore);
        flip(newestSegment(), 8 + where % (int) (end - 8));
        assertFails(ResultCode.LOG_CORRUPT, this::open);
    }

    private static void flip(Path file, int offset) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        bytes[offset] ^= 0x10;
        Files.write(file, bytes);
    }

    // The replica does not start, with the code of the file that is damaged, cut or missing.
    @Property(seed = "6", tries = 100, shrinking = ShrinkingMode.OFF)
    void refusesOtherDamage(@ForAll @IntRange(max = 9999) int where, @ForAll boolean cutOff)
            throws IOException {
        try (FileLogStorage storage = open()) {
            storage.persist(List.of(new PersistSequence(where).discard()));
        }
        String name = List.of("snapshot", "hard-state", "sync-mark", "identity").get(where % 4);
        Path file = mFolder.resolve(name);
        byte[] bytes = Files.readAllBytes(file);
        int offset = where % bytes.length;
        if (cutOff) {
            Files.write(file, Arrays.copyOf(bytes, offset));
        } else {
            flip(file, offset);
        }
        boolean isSnapshot = name.equals("snapshot");
        assertFails(isSnapshot ? ResultCode.SNAPSHOT_CORRUPT : ResultCode.LOG_CORRUPT, this::open);
        Files.delete(file);
        assertFails(ResultCode.LOG_CORRUPT, this::open);
    }

    // The replica stops with DISK_FAILED at the failed sync, and nothing is acknowledged after it,
    // though a further sync would report success: the system may have dropped the failed write.
    @Example
    void neverRetriesAfterAFailedSync() {
        AtomicBoolean fails = new AtomicBoolean();
        Disk disk = channel -> failIf(fails.get());
        List<Persist> batch = new PersistSequence(1).nextBatch();
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
    void lendsAFolderToOneProcess() {
        try (FileLogStorage storage = open()) {
            assertThat(storage.storageId()).isEqualTo(7);
            assertFails(ResultCode.BAD_SETTINGS_FILE, this::open);
        }
    }
}
