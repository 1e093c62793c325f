package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.junit.Await;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RouterServiceGrpc;

/** Tests what a gRPC server holds for clients that do not finish their calls, over loopback. */
class RpcServerBoundsTest {
    private static final int MAX_HELD_BYTES = 300 << 10;
    private static final int MESSAGE_BYTES = 200 << 10;
    private static final String RECEIVED =
            "control.bytes{service=\"RouterService\",direction=\"in\"}";

    private final EventLoops mLoops = new EventLoops("test", 1);
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final List<ManagedChannel> mChannels = new ArrayList<>();
    private RpcServer mServer;

    /** A call whose client has not said yet that it has sent its last message. */
    private static final class OpenCall {
        private final CompletableFuture<Status.Code> mEnd = new CompletableFuture<>();
        private final ClientCall<ExplainRequest, ExplainReply> mCall;

        OpenCall(ManagedChannel channel, String method) {
            mCall =
                    channel.newCall(
                            RouterServiceGrpc.getExplainMethod().toBuilder()
                                    .setType(MethodDescriptor.MethodType.CLIENT_STREAMING)
                                    .setFullMethodName(method)
                                    .build(),
                            CallOptions.DEFAULT);
            mCall.start(
                    new ClientCall.Listener<>() {
                        @Override
                        public void onClose(Status status, Metadata trailers) {
                            mEnd.complete(status.getCode());
                        }
                    },
                    new Metadata());
            mCall.request(1);
        }

        void send(int bytes) {
            mCall.sendMessage(ExplainRequest.newBuilder().setSubject("x".repeat(bytes)).build());
        }
    }

    private static final class ExplainService extends RouterServiceGrpc.RouterServiceImplBase {
        @Override
        public void explain(ExplainRequest request, StreamObserver<ExplainReply> observer) {
            observer.onNext(ExplainReply.getDefaultInstance());
            observer.onCompleted();
        }
    }

    @BeforeEach
    void start() {
        mServer =
                RpcServer.builder(mLoops, new TrafficCounters(mRegistry))
                        .service(new ExplainService())
                        .maxHeldBytes(MAX_HELD_BYTES)
                        .build();
        mServer.start();
    }

    @AfterEach
    void stop() {
        mChannels.forEach(ManagedChannel::shutdownNow);
        mServer.stop();
        mLoops.stop();
    }

    private OpenCall open(String method) {
        ManagedChannel channel =
                NettyChannelBuilder.forAddress(
                                "127.0.0.1", mServer.port(), InsecureChannelCredentials.create())
                        .build();
        mChannels.add(channel);
        return new OpenCall(channel, method);
    }

    private OpenCall openExplain() {
        return open(RouterServiceGrpc.getExplainMethod().getFullMethodName());
    }

    private void awaitReceived(long bytes) {
        Await.until(bytes + " bytes", () -> mRegistry.counter(RECEIVED).getCount() >= bytes);
    }

    // Guards against messages that are each within the limit and together fill the memory.
    @Test
    void connectionThatHasHeldAMessageLongestIsClosed() {
        OpenCall first = openExplain();
        first.send(MESSAGE_BYTES);
        awaitReceived(MESSAGE_BYTES);
        OpenCall second = openExplain();
        second.send(MESSAGE_BYTES);
        assertThat(first.mEnd.join()).isEqualTo(Status.Code.UNAVAILABLE);
        second.mCall.halfClose();
        assertThat(second.mEnd.join()).isEqualTo(Status.Code.OK);
    }

    // Guards against counting what is not held any more.
    @Test
    void finishedCallsHoldNothing() {
        for (int i = 0; i < 5; i++) {
            OpenCall call = openExplain();
            call.send(MESSAGE_BYTES);
            call.mCall.halfClose();
            assertThat(call.mEnd.join()).isEqualTo(Status.Code.OK);
        }
    }

    // Guards against a metric for each service that clients make up.
    @Test
    void callsOfUnknownServicesAreNotCounted() {
        for (int i = 0; i < 3; i++) {
            OpenCall call = open("made.up" + i + "/Call");
            assertThat(call.mEnd.join()).isEqualTo(Status.Code.UNIMPLEMENTED);
        }
        assertThat(mRegistry.getMetrics()).isEmpty();
    }
}
