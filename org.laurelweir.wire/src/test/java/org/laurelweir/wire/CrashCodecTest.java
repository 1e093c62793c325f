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
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.wire.v1.ExchangeReply;

/** Tests the messages about requests under which backend servers crashed. */
class CrashCodecTest {
    /** Maximum control traffic of an instance per second, in bytes. */
    private static final int MAX_CONTROL_BYTES_PER_SECOND = 27_000;

    private static final int LARGE_COUNT = 100;

    private static CrashRecord record(int request) {
        List<Crash> crashes = new ArrayList<>();
        for (int i = 0; i < LARGE_COUNT; i++) {
            BackendRef server = new BackendRef("i-0123456789-" + i, 1_767_225_600_000L + i);
            Duration age = Duration.ofHours(20).plusMillis(i);
            crashes.add(new Crash(server, "router-of-a-data-centre-" + i, age, i % 2 == 0));
        }
        return new CrashRecord(
                SuspectKey.request("account-" + request, -request), "seilhjerne", crashes);
    }

    // Guards against records without the router that saw the crash: no router would then consider
    // itself the one that may retry the request.
    @Test
    void recordsRoundTrip() {
        List<CrashRecord> records = List.of(record(1), record(2));
        assertThat(CrashCodec.toCore(CrashCodec.toWire(records))).isEqualTo(records);
    }

    private static CrashRecord partRecord(int part) {
        List<Crash> crashes = new ArrayList<>();
        for (Crash c : record(part).crashes()) {
            Crash.Owner owner = new Crash.Owner("seilhjerne", "account-" + part, part % 2 == 0);
            crashes.add(new Crash(c.server(), c.router(), c.age(), c.excused(), owner));
        }
        return new CrashRecord(SuspectKey.promptPart(-part), "seilhjerne", true, crashes);
    }

    // Guards against a part of prompts that arrives as a request, or without whose request it was:
    // it would be kept away from no server, or from those of other accounts.
    @Test
    void recordsOfPromptPartsRoundTrip() {
        List<CrashRecord> records = List.of(partRecord(1), record(1), partRecord(2));
        assertThat(CrashCodec.toCore(CrashCodec.toWire(records))).isEqualTo(records);
    }

    // As below, with parts of prompts, which hold more crashes than requests do.
    @Test
    void largestMessageOfPromptPartsFitsIntoOneSecondOfControlTraffic() {
        CrashTable table = new CrashTable("c1", (record, quarantined) -> {});
        for (int i = 0; i < LARGE_COUNT; i++) {
            table.merge(Instant.EPOCH, List.of(partRecord(i)));
        }
        List<CrashRecord> sent = table.since(Instant.EPOCH, 0).records();
        ExchangeReply reply =
                ExchangeReply.newBuilder().addAllCrashes(CrashCodec.toWire(sent)).build();
        assertThat(reply.getSerializedSize()).isBetween(1, MAX_CONTROL_BYTES_PER_SECOND);
    }

    // Guards against control traffic above its share of a link, because many backend servers crash
    // at once and the message holds all records.
    @Test
    void largestMessageFitsIntoOneSecondOfControlTraffic() {
        CrashTable table = new CrashTable("c1", (record, quarantined) -> {});
        for (int i = 0; i < LARGE_COUNT; i++) {
            table.merge(Instant.EPOCH, List.of(record(i)));
        }
        List<CrashRecord> sent = table.since(Instant.EPOCH, 0).records();
        assertThat(sent).hasSize(CrashTable.MAX_RECORDS_PER_MESSAGE);
        ExchangeReply reply =
                ExchangeReply.newBuilder().addAllCrashes(CrashCodec.toWire(sent)).build();
        assertThat(reply.getSerializedSize()).isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
    }
}
