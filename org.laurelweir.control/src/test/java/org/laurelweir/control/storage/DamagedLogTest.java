package org.laurelweir.control.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.consensus.HardState;

/** What a start finds and leaves where a log does not read back. */
class DamagedLogTest {
    private static final int SEGMENT_BYTES = 300;
    private static final long OLD_ID = 7;
    private static final long NEW_ID = 8;

    @TempDir Path mFolder;

    private FileLogStorage begin(long newId) {
        return FileLogStorage.openOrBeginAnew(mFolder, () -> newId, SEGMENT_BYTES, channel -> {});
    }

    @BeforeEach
    void writeLog() {
        PersistSequence sequence = new PersistSequence(5);
        try (FileLogStorage storage = begin(OLD_ID)) {
            storage.persist(List.of(sequence.discard()));
            for (int i = 0; i < 10; i++) {
                storage.persist(sequence.nextBatch());
            }
            assertThat(storage.isBesideDamagedLog()).isFalse();
        }
    }

    private void damage(String name) throws IOException {
        Path file = mFolder.resolve(name);
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Files.write(file, bytes);
    }

    private static void assertBegunAnew(FileLogStorage storage) {
        assertThat(storage.storageId()).isEqualTo(NEW_ID);
        assertThat(storage.isBesideDamagedLog()).isTrue();
        var recovered = storage.recovered();
        assertThat(recovered.hardState()).isEqualTo(HardState.INITIAL);
        assertThat(recovered.snapshot().index()).isZero();
        assertThat(recovered.entries()).isEmpty();
    }

    // A process ended at each start, since its log or snapshot did not read back.
    @ParameterizedTest
    @ValueSource(strings = {"snapshot", "hard-state", "identity", "sync-mark"})
    void aLogThatDoesNotReadBackIsSetAside(String damaged) throws IOException {
        damage(damaged);
        try (FileLogStorage storage = begin(NEW_ID)) {
            assertBegunAnew(storage);
        }
        try (FileLogStorage storage = begin(NEW_ID + 1)) {
            assertBegunAnew(storage);
        }
        assertThat(mFolder.resolve("damaged").resolve(damaged)).exists();
    }

    // A log that was set aside in part went on under the id that had voted, without its votes.
    @Test
    void aLogThatWasSetAsideInPartNeverGoesOnUnderItsId() throws IOException {
        damage("snapshot");
        Path aside = Files.createDirectories(mFolder.resolve("damaged"));
        Files.move(mFolder.resolve("identity"), aside.resolve("identity"));
        Files.move(mFolder.resolve("hard-state"), aside.resolve("hard-state"));
        try (FileLogStorage storage = begin(NEW_ID)) {
            assertBegunAnew(storage);
        }
        assertThat(aside.resolve("hard-state")).exists();
        assertThat(aside.resolve("snapshot")).exists();
    }

    // Each damage left another copy of a log on a small disk.
    @Test
    void onlyTheNewestDamagedLogIsKept() throws IOException {
        damage("snapshot");
        begin(NEW_ID).close();
        long files = filesAside();
        writeLogAgain();
        damage("snapshot");
        begin(NEW_ID + 1).close();
        assertThat(filesAside()).isLessThanOrEqualTo(files + 10);
        assertThat(mFolder.resolve("damaged").resolve("identity")).exists();
    }

    private void writeLogAgain() {
        try (FileLogStorage storage = begin(NEW_ID)) {
            storage.persist(List.of(new PersistSequence(6).discard()));
        }
    }

    private long filesAside() throws IOException {
        try (Stream<Path> files = Files.list(mFolder.resolve("damaged"))) {
            return files.count();
        }
    }
}
