package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.util.concurrent.ListenableFuture;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RouterServiceGrpc;

/** Tests how channels are shared, replaced and dropped, over loopback. */
class ChannelsTest {
    private static final int WAIT_SECONDS = 60;

    private final EventLoops mLoops = new EventLoops("test", 1);
    private final TrafficCounters mTraffic = new TrafficCounters(new MetricRegistry());
    private final BlockingQueue<StreamObserver<ExplainReply>> mCalls = new LinkedBlockingQueue<>();
    private final RpcServer mServer =
            RpcServer.builder(mLoops, mTraffic).service(new PendingRouterService()).build();
    private Instant mNow = Instant.EPOCH;
    private final Channels mChannels =
            Channels.builder(mLoops, mTraffic)
                    .clock(() -> mNow)
                    .idleClose(Duration.ofMinutes(1))
                    .build();
    private String mAddress;

    @BeforeEach
    void start() {
        mServer.start();
        mAddress = "127.0.0.1:" + mServer.port();
    }

    @AfterEach
    void stop() {
        mChannels.stop();
        mServer.stop();
        mLoops.stop();
    }

    @Test
    void sharesOneChannelPerAddress() {
        assertThat(mChannels.get(mAddress)).isSameAs(mChannels.get(mAddress));
        assertThat(mChannels.get("127.0.0.1:1")).isNotSameAs(mChannels.get(mAddress));
    }

    @Test
    void newConnectionWorksAndSuspectOneDrains() throws Exception {
        // The first call gets no answer. The caller suspects the connection and calls again through
        // a new one, which answers. Then the first connection turns out to be only slow. The
        // suspect channel is drained, not closed at once, so its call completes too.
        ManagedChannel suspect = mChannels.get(mAddress);
        ListenableFuture<ExplainReply> slow = explain(suspect);
        StreamObserver<ExplainReply> slowCall = nextCall();

        ManagedChannel fresh = mChannels.reconnect(mAddress, suspect);
        ListenableFuture<ExplainReply> answered = explain(fresh);
        finish(nextCall());
        assertThat(answered.get(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();

        finish(slowCall);
        assertThat(slow.get(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
        assertThat(suspect.awaitTermination(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(mChannels.get(mAddress)).isSameAs(fresh);
    }

    @Test
    void opensOneNewConnectionPerSuspectChannel() {
        ManagedChannel suspect = mChannels.get(mAddress);
        ManagedChannel fresh = mChannels.reconnect(mAddress, suspect);
        assertThat(mChannels.reconnect(mAddress, suspect)).isSameAs(fresh);
        assertThat(mChannels.reconnect(mAddress)).isNotSameAs(fresh);
    }

    @Test
    void dropsOnlyUnusedChannels() {
        ManagedChannel unused = mChannels.get(mAddress);
        mNow = mNow.plusSeconds(59);
        ManagedChannel used = mChannels.get("127.0.0.1:1");
        mNow = mNow.plusSeconds(2);

        mChannels.dropUnused();

        assertThat(unused.isShutdown()).isTrue();
        assertThat(mChannels.get(mAddress)).isNotSameAs(unused);
        assertThat(mChannels.get("127.0.0.1:1")).isSameAs(used);
    }

    private static ListenableFuture<ExplainReply> explain(ManagedChannel channel) {
        return RouterServiceGrpc.newFutureStub(channel)
                .explain(ExplainRequest.getDefaultInstance());
    }

    private StreamObserver<ExplainReply> nextCall() throws InterruptedException {
        StreamObserver<ExplainReply> call = mCalls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(call).isNotNull();
        return call;
    }

    private static void finish(StreamObserver<ExplainReply> call) {
        call.onNext(ExplainReply.getDefaultInstance());
        call.onCompleted();
    }

    private final class PendingRouterService extends RouterServiceGrpc.RouterServiceImplBase {
        @Override
        public void explain(ExplainRequest request, StreamObserver<ExplainReply> observer) {
            mCalls.add(observer);
        }
    }
}
