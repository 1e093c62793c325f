package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.contention.MeanDemand;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.wire.ContentionCodec;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;
import org.laurelweir.wire.v1.ServiceLoad;

/** Tests exchanges with control instances that answer and with silent ones. */
class ExchangeClientTest {
    private static final Duration SILENT_TIMEOUT = Duration.ofMillis(300);
    // Longer than a busy machine needs for an answer. Each silent instance costs one timeout.
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration LARGE_ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final RouterReport REPORT = new RouterReport("r", 1, "dc", "region", "", "");

    private final List<Server> mServers = new ArrayList<>();
    private final List<ExchangeRequest> mRequests = new CopyOnWriteArrayList<>();

    @AfterEach
    void stopServers() {
        mServers.forEach(Server::shutdownNow);
    }

    // The nearest control instance accepts the connection and never answers. Exchanges time out
    // there and go to the next instance, so that the router still receives updates.
    @Test
    void movesToNextInstanceIfNearestIsSilent() throws Exception {
        String silent = serve(false, 0);
        String answering = serve(true, 7);
        try (ExchangeClient client =
                new ExchangeClient(List.of(silent, answering), ANSWER_TIMEOUT)) {
            ExchangeAnswer answer = exchange(client);
            assertThat(answer.fence()).isEqualTo(7);
            assertThat(client.currentAddress()).isEqualTo(answering);
            assertThat(client.bytesSent()).isPositive();
            assertThat(client.bytesReceived()).isPositive();
        }
    }

    @Test
    void failsOnceEveryInstanceHasFailed() throws Exception {
        List<String> silent = List.of(serve(false, 0), serve(false, 0));
        try (ExchangeClient client = new ExchangeClient(silent, SILENT_TIMEOUT)) {
            assertThatThrownBy(() -> exchange(client))
                    .isInstanceOf(ExecutionException.class)
                    .hasCauseInstanceOf(LaurelweirException.class);
        }
    }

    // A router starts in a deployment with many client accounts. Its first answer holds the whole
    // settings tree and exceeds gRPC's default limit. If the client rejected the answer, the router
    // would never become ready.
    @Test
    void acceptsAnswerAboveDefaultMessageLimit() throws Exception {
        String service = "s".repeat(5 << 20);
        ServiceLoad load = ServiceLoad.newBuilder().setService(service).build();
        String control = serve(ExchangeReply.newBuilder().addLoads(load).build());
        try (ExchangeClient client = new ExchangeClient(List.of(control), LARGE_ANSWER_TIMEOUT)) {
            assertThat(exchange(client).loads()).hasSize(1);
        }
    }

    // Guards against demand that is lost between the router's decisions and the messages, and
    // against messages with a part for it in deployments that are not contended.
    @Test
    void demandIsSentAndReceivedIfThereIsAny() throws Exception {
        ContentionDigest digest =
                new ContentionDigest(
                        3, List.of(new MeanDemand("svc", 5)), List.of(), List.of(), 0, 0);
        ContentionReport report = new ContentionReport(true, List.of(), List.of());
        String control = serve(ContentionCodec.addTo(ExchangeReply.newBuilder(), digest).build());
        try (ExchangeClient client = new ExchangeClient(List.of(control), LARGE_ANSWER_TIMEOUT)) {
            assertThat(exchange(client, report).contention()).isEqualTo(digest);
            exchange(client);
        }
        assertThat(mRequests)
                .extracting(ExchangeRequest::hasContention)
                .containsExactly(true, false);
        assertThat(ContentionCodec.toCore(mRequests.get(0).getContention())).isEqualTo(report);
        String other = serve(true, 0);
        try (ExchangeClient client = new ExchangeClient(List.of(other), LARGE_ANSWER_TIMEOUT)) {
            assertThat(exchange(client).contention()).isEqualTo(ContentionDigest.NONE);
        }
    }

    private static ExchangeAnswer exchange(ExchangeClient client) throws Exception {
        return exchange(client, ContentionReport.NONE);
    }

    private static ExchangeAnswer exchange(ExchangeClient client, ContentionReport contention)
            throws Exception {
        return client.exchange(
                        REPORT,
                        MembershipCursor.NONE,
                        0,
                        CrashReport.NONE,
                        LoadReport.NONE,
                        contention)
                .get(30, TimeUnit.SECONDS);
    }

    private String serve(boolean answers, long fence) throws IOException {
        return serve(answers ? ExchangeReply.newBuilder().setFence(fence).build() : null);
    }

    private String serve(ExchangeReply reply) throws IOException {
        Server server =
                NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
                        .addService(new FakeControl(reply))
                        .build()
                        .start();
        mServers.add(server);
        return "127.0.0.1:" + server.getPort();
    }

    private final class FakeControl extends ControlServiceGrpc.ControlServiceImplBase {
        private final ExchangeReply mReply;

        /** Creates a control instance that sends a reply, or never answers if the reply is null. */
        FakeControl(ExchangeReply reply) {
            mReply = reply;
        }

        @Override
        public void exchange(ExchangeRequest request, StreamObserver<ExchangeReply> reply) {
            mRequests.add(request);
            if (mReply != null) {
                reply.onNext(mReply);
                reply.onCompleted();
            }
        }
    }
}
