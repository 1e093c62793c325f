package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.BackendLoad;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.MeanLoad;
import org.laurelweir.load.PartLoad;
import org.laurelweir.load.PeerLoads;

/** Tests that load messages are decoded as they were encoded and have a bounded size. */
class LoadCodecTest {
    /** Maximum control traffic of a router in one exchange interval, in bytes. */
    private static final int MAX_EXCHANGE_BYTES = 27_000 * 3 / 10;

    private static LoadReport report(int servers, int parts) {
        return new LoadReport(
                true,
                IntStream.range(0, servers)
                        .mapToObj(i -> new BackendLoad(new BackendRef("i-012345678" + i, ~i), i))
                        .toList(),
                LongStream.range(0, parts).mapToObj(i -> new PartLoad(~i, 3)).toList());
    }

    @Test
    void messagesRoundTrip() {
        LoadReport report = report(3, 2);
        LoadDigest digest =
                new LoadDigest(
                        5, List.of(new MeanLoad("svc", 1.5)), report.servers(), report.parts());
        PeerLoads loads = new PeerLoads("c1", 2, report);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(report))).isEqualTo(report);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(digest))).isEqualTo(digest);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(loads))).isEqualTo(loads);
    }

    // Guards against an exchange that exceeds a router's limit in a fleet with thousands of backend
    // servers.
    @Test
    void largestDigestFitsIntoAnExchange() {
        LoadReport largest = report(LoadDigest.MAX_BUSY, LoadDigest.MAX_HOT_PARTS);
        LoadDigest digest =
                new LoadDigest(
                        360, List.of(new MeanLoad("svc", 1.5)), largest.servers(), largest.parts());
        assertThat(LoadCodec.toWire(digest).getSerializedSize()).isLessThan(MAX_EXCHANGE_BYTES);
    }
}
