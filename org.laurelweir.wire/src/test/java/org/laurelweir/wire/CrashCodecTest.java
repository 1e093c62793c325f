package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.quarantine.Crash;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.quarantine.CrashTable;
import org.laurelweir.quarantine.RequestKey;
import org.laurelweir.wire.v1.ExchangeReply;

/** The messages about requests under which backend servers ended. */
class CrashCodecTest {
    /** What a node may spend on control in a second. */
    private static final int MOST_BYTES = 27_000;

    private static final int MANY = 100;

    private static CrashRecord record(int request) {
        List<Crash> crashes = new ArrayList<>();
        for (int i = 0; i < MANY; i++) {
            BackendRef server = new BackendRef("i-0123456789-" + i, 1_767_225_600_000L + i);
            Duration age = Duration.ofHours(20).plusMillis(i);
            crashes.add(new Crash(server, "router-of-a-data-centre-" + i, age, i % 2 == 0));
        }
        return new CrashRecord(
                new RequestKey("account-" + request, -request), "seilhjerne", crashes);
    }

    // The router that saw an end was left out, and no router held itself for the one that may try.
    @Test
    void keepsEverything() {
        List<CrashRecord> records = List.of(record(1), record(2));
        assertThat(CrashCodec.toCore(CrashCodec.toWire(records))).isEqualTo(records);
    }

    // After a loss of many servers the records took more of a link than control may.
    @Test
    void theLargestMessageFitsIntoASecondsShareOfControl() {
        CrashTable table = new CrashTable("c1", (record, quarantined) -> {});
        for (int i = 0; i < MANY; i++) {
            table.merge(Instant.EPOCH, List.of(record(i)));
        }
        List<CrashRecord> told = table.since(Instant.EPOCH, 0).records();
        assertThat(told).hasSize(CrashTable.MAX_RECORDS_PER_MESSAGE);
        ExchangeReply reply =
                ExchangeReply.newBuilder().addAllCrashes(CrashCodec.toWire(told)).build();
        assertThat(reply.getSerializedSize()).isLessThan(MOST_BYTES);
    }
}
