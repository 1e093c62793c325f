package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.ReplicaMessage;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.wire.v1.DeliverReply;
import org.laurelweir.wire.v1.ReplicaEnvelope;
import org.laurelweir.wire.v1.ReplicaServiceGrpc;

/**
 * Tests that large messages are compressed. Settings of hundreds of routes may change several times
 * per second, and each change goes to every peer.
 */
class PeerCallsTest {
    private static final ReplicaId SELF = new ReplicaId("a", 1);
    private static final ReplicaId PEER = new ReplicaId("b", 2);

    private final CompletableFuture<ReplicaEnvelope> mDelivered = new CompletableFuture<>();

    private final class Peer extends ReplicaServiceGrpc.ReplicaServiceImplBase {
        @Override
        public void deliver(ReplicaEnvelope e, StreamObserver<DeliverReply> reply) {
            mDelivered.complete(e);
            reply.onNext(DeliverReply.getDefaultInstance());
            reply.onCompleted();
        }
    }

    @Test
    void sendsALargeEntryCompressedAndComplete() throws ExecutionException, InterruptedException {
        byte[] tree = "{\"name\":\"route\",\"timeout_ms\":800}".repeat(8000).getBytes();
        MetricRegistry registry = new MetricRegistry();
        EventLoops loops = new EventLoops("test", 1);
        TrafficCounters traffic = new TrafficCounters(registry);
        RpcServer server =
                RpcServer.builder(loops, new TrafficCounters(new MetricRegistry()))
                        .listen("127.0.0.1", 0)
                        .service(new Peer())
                        .build();
        server.start();
        Channels channels = Channels.builder(loops, traffic).build();
        Map<String, String> addresses = Map.of("b", "127.0.0.1:" + server.port());
        PeerCalls calls = new PeerCalls(SELF, addresses, false, channels, e -> {});
        calls.send(new ConsensusEffect.Send(PEER, append(tree)));
        byte[] arrived =
                mDelivered.get().getAppendRequest().getEntries(0).getPayload().toByteArray();
        assertThat(arrived).isEqualTo(tree);
        long sent = registry.getCounters().values().stream().mapToLong(c -> c.getCount()).sum();
        assertThat(sent).isPositive().isLessThan(tree.length / 10);
        channels.stop();
        server.stop();
        loops.stop();
    }

    private static ReplicaMessage append(byte[] payload) {
        LogEntry entry = new LogEntry(1, 1, LogEntry.Kind.COMMAND, payload);
        return new ReplicaMessage.AppendRequest(1, 0, 0, List.of(entry), 0, 1);
    }
}
