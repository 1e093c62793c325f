package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.Counting;
import com.codahale.metrics.MetricRegistry;
import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.Decision;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RouterServiceGrpc;

/** Tests a server's byte counters and its failure to listen, over loopback. */
class RpcServerTest {
    private static final int MESSAGE_FRAMING_BYTES = 5;

    private final EventLoops mLoops = new EventLoops("test", 1);

    @AfterEach
    void stop() {
        mLoops.stop();
    }

    @Test
    void countsTheBytesOfMessagesByServiceAndDirection() {
        MetricRegistry atServer = new MetricRegistry();
        MetricRegistry atClient = new MetricRegistry();
        ExplainRequest request = ExplainRequest.newBuilder().setSubject("chat").build();
        try (RpcServer server = newServer(atServer);
                Channels channels =
                        Channels.builder(mLoops, new TrafficCounters(atClient)).build()) {
            server.start();
            RouterServiceGrpc.newBlockingStub(channels.get("127.0.0.1:" + server.port()))
                    .explain(request);
        }

        long asked = request.getSerializedSize() + MESSAGE_FRAMING_BYTES;
        long answered = reply(request).getSerializedSize() + MESSAGE_FRAMING_BYTES;
        String in = "control.bytes{service=\"RouterService\",direction=\"in\"}";
        String out = "control.bytes{service=\"RouterService\",direction=\"out\"}";
        assertThat(counts(atServer)).isEqualTo(Map.of(in, asked, out, answered));
        assertThat(counts(atClient)).isEqualTo(Map.of(in, answered, out, asked));
    }

    @Test
    void registersExternalCounts() {
        MetricRegistry registry = new MetricRegistry();
        new TrafficCounters(registry).registerExternal("ControlExchange", () -> 7, () -> 11);
        assertThat(externalCount(registry, "in")).isEqualTo(7);
        assertThat(externalCount(registry, "out")).isEqualTo(11);
    }

    private static long externalCount(MetricRegistry registry, String direction) {
        String name = "control.bytes{service=\"ControlExchange\",direction=\"" + direction + "\"}";
        return ((Counting) registry.getMetrics().get(name)).getCount();
    }

    @Test
    void rejectsAnAddressInUse() {
        try (RpcServer first = newServer(new MetricRegistry())) {
            first.start();
            RpcServer second =
                    RpcServer.builder(mLoops, new TrafficCounters(new MetricRegistry()))
                            .listen("127.0.0.1", first.port())
                            .build();
            assertThatThrownBy(second::start)
                    .isInstanceOf(LaurelweirException.class)
                    .extracting(e -> ((LaurelweirException) e).getCode())
                    .isEqualTo(ResultCode.CANNOT_LISTEN);
        }
    }

    private RpcServer newServer(MetricRegistry registry) {
        return RpcServer.builder(mLoops, new TrafficCounters(registry))
                .service(new EchoExplainService())
                .build();
    }

    private static Map<String, Long> counts(MetricRegistry registry) {
        return registry.getCounters().keySet().stream()
                .collect(
                        Collectors.toMap(Function.identity(), n -> registry.counter(n).getCount()));
    }

    private static ExplainReply reply(ExplainRequest request) {
        return ExplainReply.newBuilder()
                .addDecisions(Decision.newBuilder().setReason(request.getSubject()))
                .build();
    }

    private static final class EchoExplainService extends RouterServiceGrpc.RouterServiceImplBase {
        @Override
        public void explain(ExplainRequest request, StreamObserver<ExplainReply> observer) {
            observer.onNext(reply(request));
            observer.onCompleted();
        }
    }
}
