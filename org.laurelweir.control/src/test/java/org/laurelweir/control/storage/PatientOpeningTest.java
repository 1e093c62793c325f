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

/** A start on a disk that takes no writes. */
class PatientOpeningTest {
    @TempDir Path mFolder;

    private Instant mNow = Instant.EPOCH;
    private int mTries;
    private final PatientOpening mOpening = new PatientOpening(() -> mNow, this::sleep);

    private void sleep(Duration time) {
        mNow = mNow.plus(time);
    }

    private LogStorage fail(ResultCode code) {
        mTries++;
        throw new LaurelweirException(code, "no space left");
    }

    // Operators see: a control instance that ends with status 52 each second. Order: its disk is
    // full, the process ends once and is started again, and seconds later the disk has room. Why:
    // the start waits for the disk; what had been synced before is there.
    @Test
    void aStartWaitsForADiskThatIsFull() {
        PersistSequence sequence = new PersistSequence(5);
        String before;
        try (LogStorage storage = storage(channel -> {})) {
            storage.persist(sequence.nextBatch());
        }
        try (LogStorage storage = storage(channel -> {})) {
            before = PersistSequence.render(storage.recovered());
        }
        AtomicInteger failures = new AtomicInteger();
        Disk full =
                channel -> {
                    if (failures.incrementAndGet() <= 12) {
                        throw new IOException("no space left");
                    }
                };
        try (LogStorage storage = mOpening.open(() -> storage(full))) {
            assertThat(PersistSequence.render(storage.recovered())).isEqualTo(before);
        }
        assertThat(failures.get()).isGreaterThan(12);
    }

    private LogStorage storage(Disk disk) {
        return FileLogStorage.open(mFolder, () -> 7, 300, disk);
    }

    @Test
    void aDiskThatStaysFullEndsTheProcessAfterAMinute() {
        assertThatThrownBy(() -> mOpening.open(() -> fail(ResultCode.DISK_FAILED)))
                .hasMessageContaining("no space left");
        assertThat(mTries).isGreaterThan(200);
        assertThat(mNow).isBefore(Instant.EPOCH.plusSeconds(62));
    }

    @Test
    void aDamagedLogIsNotTriedAgain() {
        assertThatThrownBy(() -> mOpening.open(() -> fail(ResultCode.LOG_CORRUPT)))
                .hasMessageContaining("no space left");
        assertThat(mTries).isEqualTo(1);
    }
}
