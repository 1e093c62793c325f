package org.laurelweir.control.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Tests starts on a disk that rejects writes. */
class StorageOpenerTest {
    @TempDir Path mFolder;

    private Instant mNow = Instant.EPOCH;
    private int mTries;
    private final StorageOpener mOpener = new StorageOpener(() -> mNow, this::sleep);

    private void sleep(Duration time) {
        mNow = mNow.plus(time);
    }

    private LogStorage fail(ResultCode code) {
        mTries++;
        throw new LaurelweirException(code, "no space left");
    }

    // Guards against a control instance that ends with status 52 each second while its disk is
    // full. The start must wait until the disk has space, and then recover all data that was synced
    // before.
    @Test
    void retriesWhileDiskIsFull() {
        PersistGenerator generator = new PersistGenerator(5);
        String before;
        try (LogStorage storage = openFileStorage(channel -> {})) {
            storage.persist(generator.nextBatch());
        }
        try (LogStorage storage = openFileStorage(channel -> {})) {
            before = PersistGenerator.render(storage.recovered());
        }
        AtomicInteger failures = new AtomicInteger();
        Disk full =
                channel -> {
                    if (failures.incrementAndGet() <= 12) {
                        throw new IOException("no space left");
                    }
                };
        try (LogStorage storage = mOpener.open(() -> openFileStorage(full))) {
            assertThat(PersistGenerator.render(storage.recovered())).isEqualTo(before);
        }
        assertThat(failures.get()).isGreaterThan(12);
    }

    private LogStorage openFileStorage(Disk disk) {
        return FileLogStorage.open(mFolder, () -> 7, 300, disk);
    }

    @Test
    void failsAfterAMinuteOfFullDisk() {
        assertThatThrownBy(() -> mOpener.open(() -> fail(ResultCode.DISK_FAILED)))
                .hasMessageContaining("no space left");
        assertThat(mTries).isGreaterThan(200);
        assertThat(mNow).isBefore(Instant.EPOCH.plusSeconds(62));
    }

    @Test
    void doesNotRetryADamagedLog() {
        assertThatThrownBy(() -> mOpener.open(() -> fail(ResultCode.LOG_CORRUPT)))
                .hasMessageContaining("no space left");
        assertThat(mTries).isEqualTo(1);
    }
}
