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

/** Tests a start with a damaged log. */
class DamagedLogTest {
    private static final int SEGMENT_BYTES = 300;
    private static final long OLD_ID = 7;
    private static final long NEW_ID = 8;

    @TempDir Path mFolder;

    private FileLogStorage openStorage(long newId) {
        return FileLogStorage.openOrReplaceDamaged(
                mFolder, () -> newId, SEGMENT_BYTES, channel -> {});
    }

    @BeforeEach
    void writeLog() {
        PersistGenerator generator = new PersistGenerator(5);
        try (FileLogStorage storage = openStorage(OLD_ID)) {
            storage.persist(List.of(generator.snapshotReplacingLog()));
            for (int i = 0; i < 10; i++) {
                storage.persist(generator.nextBatch());
            }
            assertThat(storage.hasDamagedLog()).isFalse();
        }
    }

    private void damage(String name) throws IOException {
        Path file = mFolder.resolve(name);
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Files.write(file, bytes);
    }

    private static void assertNewEmptyLog(FileLogStorage storage) {
        assertThat(storage.storageId()).isEqualTo(NEW_ID);
        assertThat(storage.hasDamagedLog()).isTrue();
        var recovered = storage.recovered();
        assertThat(recovered.hardState()).isEqualTo(HardState.INITIAL);
        assertThat(recovered.snapshot().index()).isZero();
        assertThat(recovered.entries()).isEmpty();
    }

    // Guards against a process that ends at each start because its log or snapshot is damaged.
    @ParameterizedTest
    @ValueSource(strings = {"snapshot", "hard-state", "identity", "sync-mark"})
    void aDamagedLogIsSetAside(String damaged) throws IOException {
        damage(damaged);
        try (FileLogStorage storage = openStorage(NEW_ID)) {
            assertNewEmptyLog(storage);
        }
        try (FileLogStorage storage = openStorage(NEW_ID + 1)) {
            assertNewEmptyLog(storage);
        }
        assertThat(mFolder.resolve("damaged").resolve(damaged)).exists();
    }

    // Guards against a log that is only partly set aside, here without its votes, and then used
    // under the storage id that cast them.
    @Test
    void aPartlyMovedLogGetsANewStorageId() throws IOException {
        damage("snapshot");
        Path aside = Files.createDirectories(mFolder.resolve("damaged"));
        Files.move(mFolder.resolve("identity"), aside.resolve("identity"));
        Files.move(mFolder.resolve("hard-state"), aside.resolve("hard-state"));
        try (FileLogStorage storage = openStorage(NEW_ID)) {
            assertNewEmptyLog(storage);
        }
        assertThat(aside.resolve("hard-state")).exists();
        assertThat(aside.resolve("snapshot")).exists();
    }

    // Guards against a small disk that fills up with copies of damaged logs.
    @Test
    void onlyTheNewestDamagedLogIsKept() throws IOException {
        damage("snapshot");
        openStorage(NEW_ID).close();
        long files = countFilesSetAside();
        writeLogAgain();
        damage("snapshot");
        openStorage(NEW_ID + 1).close();
        assertThat(countFilesSetAside()).isLessThanOrEqualTo(files + 10);
        assertThat(mFolder.resolve("damaged").resolve("identity")).exists();
    }

    private void writeLogAgain() {
        try (FileLogStorage storage = openStorage(NEW_ID)) {
            storage.persist(List.of(new PersistGenerator(6).snapshotReplacingLog()));
        }
    }

    private long countFilesSetAside() throws IOException {
        try (Stream<Path> files = Files.list(mFolder.resolve("damaged"))) {
            return files.count();
        }
    }
}
