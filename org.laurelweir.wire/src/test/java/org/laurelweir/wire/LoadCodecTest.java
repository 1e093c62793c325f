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

/** That what routers have under way arrives as it was sent, in a bounded size. */
class LoadCodecTest {
    /** What a router may spend on control in the interval of its exchanges. */
    private static final int MOST_BYTES = 27_000 * 3 / 10;

    private static LoadReport report(int servers, int parts) {
        return new LoadReport(
                true,
                IntStream.range(0, servers)
                        .mapToObj(i -> new BackendLoad(new BackendRef("i-012345678" + i, ~i), i))
                        .toList(),
                LongStream.range(0, parts).mapToObj(i -> new PartLoad(~i, 3)).toList());
    }

    @Test
    void everyFieldArrives() {
        LoadReport report = report(3, 2);
        LoadDigest digest =
                new LoadDigest(
                        5, List.of(new MeanLoad("svc", 1.5)), report.servers(), report.parts());
        PeerLoads loads = new PeerLoads("c1", 2, report);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(report))).isEqualTo(report);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(digest))).isEqualTo(digest);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(loads))).isEqualTo(loads);
    }

    // With thousands of backend servers an exchange took more than a router may spend on it.
    @Test
    void aDigestFitsIntoAnExchange() {
        LoadReport most = report(LoadDigest.MAX_BUSY, LoadDigest.MAX_HOT_PARTS);
        LoadDigest digest =
                new LoadDigest(
                        360, List.of(new MeanLoad("svc", 1.5)), most.servers(), most.parts());
        assertThat(LoadCodec.toWire(digest).getSerializedSize()).isLessThan(MOST_BYTES);
    }
}
