package org.laurelweir.sidecar;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.v1.Acknowledge;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.Cancel;
import org.laurelweir.wire.v1.ChatLocation;
import org.laurelweir.wire.v1.HandOverChatsRequest;
import org.laurelweir.wire.v1.LocateChatsRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** Clients of a sidecar that each have a connection of their own. */
final class SidecarCrowd implements AutoCloseable {
    private static final int SEND_SECONDS = 6;
    private static final int BYTES_OF_A_TOKEN = 4;

    /** What one client of the crowd does. */
    interface Client {
        /**
         * Sends what the client sends.
         *
         * @param crowd makes requests
         */
        void send(SidecarCrowd crowd, ManagedChannel channel);
    }

    private final BackendRef mTarget;
    private final AtomicInteger mRequests = new AtomicInteger();
    private final List<ManagedChannel> mChannels = new ArrayList<>();

    /** Lets all clients send. */
    SidecarCrowd(int port, BackendRef target, int clients, Client client) {
        mTarget = target;
        for (int i = 0; i < clients; i++) {
            ManagedChannel channel =
                    NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
            mChannels.add(channel);
            client.send(this, channel);
        }
    }

    /** Leaves time to send: a client that is not read can't say when it has sent all. */
    void awaitSent() throws InterruptedException {
        TimeUnit.SECONDS.sleep(SEND_SECONDS);
    }

    private StreamObserver<AttemptFrame> ignoredAnswers() {
        return new StreamObserver<>() {
            @Override
            public void onNext(AttemptFrame frame) {
                // The crowd doesn't look at its answers.
            }

            @Override
            public void onError(Throwable failure) {
                // The sidecar may end any call of a crowd.
            }

            @Override
            public void onCompleted() {
                // As above.
            }
        };
    }

    /** Opens a stream and sends a message several times. */
    void stream(ManagedChannel channel, AttemptMessage message, int copies) {
        StreamObserver<AttemptMessage> stream =
                SidecarServiceGrpc.newStub(channel).attempt(ignoredAnswers());
        for (int i = 0; i < copies; i++) {
            stream.onNext(message);
        }
    }

    /** Begins an attempt with a body, at the cost that a router would expect. */
    void begin(ManagedChannel channel, int bodyBytes) {
        stream(channel, begin(mTarget, mRequests.incrementAndGet(), new byte[bodyBytes]), 1);
    }

    static AttemptMessage begin(BackendRef target, long request, byte[] body) {
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/v1/chat/completions", List.of(), body, false);
        AttemptRequest attempt =
                AttemptRequest.builder(new AttemptId("crowd", 1, request, 1), target)
                        .account("account", 1)
                        .service("seilhjerne")
                        .chat(request, false)
                        .call(call)
                        .timeLeft(Duration.ofMinutes(1))
                        .cost(new AttemptRequest.Cost(body.length / BYTES_OF_A_TOKEN, 4))
                        .build();
        return AttemptMessage.newBuilder().setBegin(AttemptCodec.toWire(attempt)).build();
    }

    static AttemptMessage cancel() {
        return AttemptMessage.newBuilder().setCancel(Cancel.getDefaultInstance()).build();
    }

    static AttemptMessage acknowledge() {
        return AttemptMessage.newBuilder()
                .setAcknowledge(Acknowledge.newBuilder().setOffset(1))
                .build();
    }

    /** Sends a request, and never says that it was the last. */
    <Q, A> void sendUnfinished(ManagedChannel channel, MethodDescriptor<Q, A> method, Q request) {
        ClientCall<Q, A> call =
                channel.newCall(
                        method.toBuilder()
                                .setType(MethodDescriptor.MethodType.CLIENT_STREAMING)
                                .build(),
                        CallOptions.DEFAULT);
        call.start(new ClientCall.Listener<>() {}, new Metadata());
        call.request(1);
        call.sendMessage(request);
    }

    static HandOverChatsRequest manyLocations(int count) {
        HandOverChatsRequest.Builder request =
                HandOverChatsRequest.newBuilder().setFrom("x").setService("seilhjerne");
        for (int i = 0; i < count; i++) {
            request.addLocations(ChatLocation.newBuilder().setChat(i));
        }
        return request.build();
    }

    static LocateChatsRequest manyChats(int count) {
        LocateChatsRequest.Builder request =
                LocateChatsRequest.newBuilder().setService("seilhjerne");
        for (int i = 0; i < count; i++) {
            request.addChats(i);
        }
        return request.build();
    }

    @Override
    public void close() {
        mChannels.forEach(ManagedChannel::shutdownNow);
    }
}
