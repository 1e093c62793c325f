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

/** What is on its way to readers that all ask for everything at the same moment. */
class LargeAnswersTest {
    private static final int MOST_BYTES = 4 << 20;
    private static final int WHOLE_TREE = 900_000;
    private static final int READERS = 360;

    private final LargeAnswers mAnswers = new LargeAnswers(MOST_BYTES);
    private final Set<Integer> mSent = new HashSet<>();
    private final List<LargeAnswers.Ticket> mTickets = new ArrayList<>();

    private void ask(int readers, int bytes) {
        for (int i = 0; i < readers; i++) {
            int reader = mTickets.size();
            LargeAnswers.Ticket ticket = mAnswers.open(null);
            mTickets.add(ticket);
            ticket.send(bytes, () -> mSent.add(reader));
        }
    }

    // An instance that had just started filled its heap with answers to all routers at once.
    @Test
    void allReadersAreAnsweredWithinTheBound() {
        ask(READERS, WHOLE_TREE);
        assertThat(mSent).hasSize(MOST_BYTES / WHOLE_TREE);
        for (LargeAnswers.Ticket ticket : mTickets) {
            assertThat(mAnswers.bytes()).isBetween(1L, (long) MOST_BYTES);
            ticket.end();
        }
        assertThat(mSent).hasSize(READERS);
        assertThat(mAnswers.bytes()).isZero();
    }

    @Test
    void aSmallAnswerGoesAtOnceAndAnEnormousOneAlone() {
        ask(1, 3 * MOST_BYTES);
        ask(1, WHOLE_TREE);
        ask(1, LargeAnswers.LARGE_BYTES - 1);
        assertThat(mSent).containsExactlyInAnyOrder(0, 2);
        mTickets.get(0).end();
        assertThat(mSent).containsExactlyInAnyOrder(0, 1, 2);
    }

    // A reader that had given up was sent its answer, and kept the others waiting.
    @Test
    void whoGaveUpIsPassedOver() {
        ask(6, WHOLE_TREE);
        mTickets.get(4).end();
        mTickets.get(0).end();
        assertThat(mSent).containsExactlyInAnyOrder(0, 1, 2, 3, 5);
        LargeAnswers.Ticket late = mAnswers.open(null);
        late.end();
        late.send(WHOLE_TREE, () -> mSent.add(99));
        assertThat(mSent).doesNotContain(99);
    }

    // Calls over a connection did not give their place back, and whoever came later was not
    // answered.
    @Test
    void callsThatEndOrAreGivenUpGiveTheirPlaceBack() {
        ExchangeReply large =
                ExchangeReply.newBuilder().addControls("x".repeat(WHOLE_TREE)).build();
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
                // Nobody reads this one's answer.
                ClientCall<ExchangeRequest, ExchangeReply> unread = unread(channel);
                ExchangeReply reply =
                        ControlServiceGrpc.newBlockingStub(channel)
                                .withDeadlineAfter(60, TimeUnit.SECONDS)
                                .exchange(ExchangeRequest.getDefaultInstance());
                assertThat(reply).isEqualTo(large);
                unread.cancel("given up", null);
            }
            Await.until("all places are given back", () -> mAnswers.bytes() == 0);
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

    private static ClientCall<ExchangeRequest, ExchangeReply> unread(ManagedChannel channel) {
        ClientCall<ExchangeRequest, ExchangeReply> call =
                channel.newCall(ControlServiceGrpc.getExchangeMethod(), CallOptions.DEFAULT);
        call.start(new ClientCall.Listener<>() {}, new Metadata());
        call.sendMessage(ExchangeRequest.getDefaultInstance());
        call.halfClose();
        return call;
    }
}
