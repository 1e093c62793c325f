package org.laurelweir.control.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/** Tests the limit on large answers when all readers ask for the whole state at once. */
class LargeAnswersTest {
    private static final int MAX_BYTES = 4 << 20;
    private static final int TREE_BYTES = 900_000;
    private static final int READERS = 360;

    private final LargeAnswers mAnswers = new LargeAnswers(MAX_BYTES);
    private final Set<Integer> mSent = new HashSet<>();
    private final List<LargeAnswers.PendingAnswer> mPending = new ArrayList<>();

    private void requestAnswers(int readers, int bytes) {
        for (int i = 0; i < readers; i++) {
            int reader = mPending.size();
            LargeAnswers.PendingAnswer pending = mAnswers.open(null);
            mPending.add(pending);
            pending.send(bytes, () -> mSent.add(reader));
        }
    }

    // Guards against an instance that has just started and fills its heap with answers to all
    // routers.
    @Test
    void allReadersAreAnsweredWithinTheBound() {
        requestAnswers(READERS, TREE_BYTES);
        assertThat(mSent).hasSize(MAX_BYTES / TREE_BYTES);
        for (LargeAnswers.PendingAnswer pending : mPending) {
            assertThat(mAnswers.bytesInFlight()).isBetween(1L, (long) MAX_BYTES);
            pending.end();
        }
        assertThat(mSent).hasSize(READERS);
        assertThat(mAnswers.bytesInFlight()).isZero();
    }

    @Test
    void sendsASmallAnswerAtOnceAndAnOversizedOneAlone() {
        requestAnswers(1, 3 * MAX_BYTES);
        requestAnswers(1, TREE_BYTES);
        requestAnswers(1, LargeAnswers.LARGE_BYTES - 1);
        assertThat(mSent).containsExactlyInAnyOrder(0, 2);
        mPending.get(0).end();
        assertThat(mSent).containsExactlyInAnyOrder(0, 1, 2);
    }

    // Guards against an answer that is sent to a reader that has cancelled its call, while other
    // readers wait.
    @Test
    void skipsReadersThatCancelled() {
        requestAnswers(6, TREE_BYTES);
        mPending.get(4).end();
        mPending.get(0).end();
        assertThat(mSent).containsExactlyInAnyOrder(0, 1, 2, 3, 5);
        LargeAnswers.PendingAnswer cancelled = mAnswers.open(null);
        cancelled.end();
        cancelled.send(TREE_BYTES, () -> mSent.add(99));
        assertThat(mSent).doesNotContain(99);
    }

    // Guards against gRPC calls that never release their bytes when they end or are cancelled, so
    // that later calls get no answer.
    @Test
    void endedAndCancelledCallsReleaseTheirBytes() {
        ExchangeReply large =
                ExchangeReply.newBuilder().addControls("x".repeat(TREE_BYTES)).build();
        EventLoops loops = new EventLoops("test", 1);
        RpcServer server =
                RpcServer.builder(loops, new TrafficCounters(new MetricRegistry()))
                        .service(service(large))
                        .build();
        server.start();
        ManagedChannel channel =
                NettyChannelBuilder.forAddress("127.0.0.1", server.port()).usePlaintext().build();
        try {
            for (int i = 0; i < 30; i++) {
                // The answer of this call is never read.
                ClientCall<ExchangeRequest, ExchangeReply> unread = callWithoutReading(channel);
                ExchangeReply reply =
                        ControlServiceGrpc.newBlockingStub(channel)
                                .withDeadlineAfter(60, TimeUnit.SECONDS)
                                .exchange(ExchangeRequest.getDefaultInstance());
                assertThat(reply).isEqualTo(large);
                unread.cancel("cancelled by the test", null);
            }
            Await.until("all bytes are released", () -> mAnswers.bytesInFlight() == 0);
        } finally {
            channel.shutdownNow();
            server.stop();
            loops.stop();
        }
    }

    private ControlServiceGrpc.ControlServiceImplBase service(ExchangeReply large) {
        return new ControlServiceGrpc.ControlServiceImplBase() {
            @Override
            public void exchange(ExchangeRequest r, StreamObserver<ExchangeReply> out) {
                mAnswers.open(out)
                        .send(large.getSerializedSize(), () -> PendingCalls.send(out, large));
            }
        };
    }

    private static ClientCall<ExchangeRequest, ExchangeReply> callWithoutReading(
            ManagedChannel channel) {
        ClientCall<ExchangeRequest, ExchangeReply> call =
                channel.newCall(ControlServiceGrpc.getExchangeMethod(), CallOptions.DEFAULT);
        call.start(new ClientCall.Listener<>() {}, new Metadata());
        call.sendMessage(ExchangeRequest.getDefaultInstance());
        call.halfClose();
        return call;
    }
}
