package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.laurelweir.contention.AccountDemand;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.contention.MeanDemand;
import org.laurelweir.contention.ServerDemand;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.BackendLoad;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.MeanLoad;
import org.laurelweir.load.PartLoad;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/** Tests that messages of demand are decoded as they were encoded and have a bounded size. */
class ContentionCodecTest {
    /** Maximum control traffic of a router in one exchange interval, in bytes. */
    private static final int MAX_EXCHANGE_BYTES = 27_000 * 3 / 10;

    /** An incarnation is the time of the start in milliseconds. */
    private static final long INCARNATION = 1_764_850_000_000L;

    private static BackendRef ref(int number) {
        return new BackendRef("i-01234567" + (1_000 + number), INCARNATION + number);
    }

    private static ContentionReport report(int servers, int accounts) {
        return new ContentionReport(
                true,
                IntStream.range(0, servers)
                        .mapToObj(i -> new ServerDemand(ref(i), 250_000 + i, 200, 150))
                        .toList(),
                IntStream.range(0, accounts)
                        .mapToObj(i -> new AccountDemand("account-" + (10_000 + i), 90_000_000 + i))
                        .toList());
    }

    private static ContentionDigest largestDigest() {
        ContentionReport largest =
                report(ContentionDigest.MAX_SERVERS, ContentionDigest.MAX_ACCOUNTS);
        return new ContentionDigest(
                360,
                List.of(new MeanDemand("svc", 1.5)),
                largest.servers(),
                largest.accounts(),
                90_000_000_000L,
                19_000);
    }

    @Test
    void messagesRoundTrip() {
        ContentionReport report = report(3, 2);
        ExchangeRequest request =
                ContentionCodec.addTo(ExchangeRequest.newBuilder(), report).build();
        assertThat(ContentionCodec.toCore(request.getContention())).isEqualTo(report);
        ContentionDigest digest = largestDigest();
        ExchangeReply reply = ContentionCodec.addTo(ExchangeReply.newBuilder(), digest).build();
        assertThat(ContentionCodec.toCore(reply.getContention())).isEqualTo(digest);
        PeerLoads loads = new PeerLoads("c1", 2, LoadReport.NONE, report);
        assertThat(LoadCodec.toCore(LoadCodec.toWire(loads))).isEqualTo(loads);
    }

    // Guards against a report that the router has no demand now and that looks like none at all.
    @Test
    void emptyFullReportIsSent() {
        ContentionReport empty = new ContentionReport(true, List.of(), List.of());
        ExchangeRequest request =
                ContentionCodec.addTo(ExchangeRequest.newBuilder(), empty).build();
        assertThat(ContentionCodec.toCore(request.getContention())).isEqualTo(empty);
    }

    // Guards against other messages than before in deployments that are not contended.
    @Test
    void nothingIsAddedToMessagesWithoutDemand() {
        assertThat(ContentionCodec.addTo(ExchangeRequest.newBuilder(), ContentionReport.NONE))
                .matches(r -> r.build().getSerializedSize() == 0);
        assertThat(ContentionCodec.addTo(ExchangeReply.newBuilder(), ContentionDigest.NONE))
                .matches(r -> r.build().getSerializedSize() == 0);
        PeerLoads loads = new PeerLoads("c1", 2, LoadReport.NONE);
        assertThat(LoadCodec.toWire(loads).hasContention()).isFalse();
        assertThat(LoadCodec.toCore(LoadCodec.toWire(loads))).isEqualTo(loads);
        assertThat(ContentionCodec.toCore(ExchangeRequest.getDefaultInstance().getContention()))
                .isEqualTo(ContentionReport.NONE);
        assertThat(ContentionCodec.toCore(ExchangeReply.getDefaultInstance().getContention()))
                .isEqualTo(ContentionDigest.NONE);
    }

    // Guards against exchanges that exceed a router's limit with thousands of backend servers and
    // client accounts: an answer has the largest digests of both kinds.
    @Test
    void largestDigestsFitIntoAnExchange() {
        LoadDigest loads =
                new LoadDigest(
                        360,
                        List.of(new MeanLoad("svc", 1.5)),
                        IntStream.range(0, LoadDigest.MAX_BUSY)
                                .mapToObj(i -> new BackendLoad(ref(i), 100))
                                .toList(),
                        LongStream.range(0, LoadDigest.MAX_HOT_PARTS)
                                .mapToObj(i -> new PartLoad(~i, 3))
                                .toList());
        ExchangeReply.Builder reply =
                ExchangeReply.newBuilder().setLoadDigest(LoadCodec.toWire(loads));
        ContentionCodec.addTo(reply, largestDigest());
        assertThat(reply.build().getSerializedSize()).isLessThan(MAX_EXCHANGE_BYTES);
    }
}
