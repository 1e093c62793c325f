package org.laurelweir.router.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceImplBase;
import org.laurelweir.wire.v1.FindStreamReply;
import org.laurelweir.wire.v1.FindStreamRequest;
import org.laurelweir.wire.v1.RecordStreamReply;
import org.laurelweir.wire.v1.RecordStreamRequest;

/** Tests records and lookups of streams' origins at control instances that answer or don't. */
class OriginCallsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration WINDOW = Duration.ofSeconds(30);
    private static final long WAIT_SECONDS = 30;
    private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");
    private static final String HERE = "127.0.0.1";
    private static final String ELSEWHERE = "127.0.0.2";

    private final EventLoops mLoops = new EventLoops("test", 1);
    private final Channels mChannels =
            Channels.builder(mLoops, new TrafficCounters(new MetricRegistry())).build();
    private final BlockingQueue<DirectEvent> mEvents = new LinkedBlockingQueue<>();
    private final List<FakeControl> mControls = new ArrayList<>();

    @BeforeEach
    void start() {
        mChannels.start();
    }

    @AfterEach
    void stop() {
        mControls.forEach(c -> c.mServer.shutdownNow());
        mChannels.stop();
        mLoops.stop();
    }

    /** A control instance that keeps records, or answers nothing. */
    private static final class FakeControl extends ControlServiceImplBase {
        private final BlockingQueue<RecordStreamRequest> mRecords = new LinkedBlockingQueue<>();
        private final boolean mIsSilent;
        private final boolean mHasOrigin;
        private Server mServer;

        FakeControl(boolean isSilent, boolean hasOrigin) {
            mIsSilent = isSilent;
            mHasOrigin = hasOrigin;
        }

        @Override
        public void recordStream(RecordStreamRequest r, StreamObserver<RecordStreamReply> out) {
            mRecords.add(r);
            if (!mIsSilent) {
                out.onNext(RecordStreamReply.getDefaultInstance());
                out.onCompleted();
            }
        }

        @Override
        public void findStream(FindStreamRequest r, StreamObserver<FindStreamReply> out) {
            if (mIsSilent) {
                return;
            }
            FindStreamReply.Builder reply = FindStreamReply.newBuilder();
            if (mHasOrigin) {
                reply.setOrigin(
                        org.laurelweir.wire.v1.StreamOrigin.newBuilder()
                                .setService(ORIGIN.service())
                                .setVersion(ORIGIN.version()));
            }
            out.onNext(reply.build());
            out.onCompleted();
        }
    }

    private FakeControl serve(String host, boolean isSilent, boolean hasOrigin) throws IOException {
        FakeControl control = new FakeControl(isSilent, hasOrigin);
        control.mServer =
                NettyServerBuilder.forAddress(new InetSocketAddress(host, 0))
                        .addService(control)
                        .build()
                        .start();
        mControls.add(control);
        return control;
    }

    private FakeControl answering(String host) throws IOException {
        return serve(host, false, false);
    }

    private FakeControl silent() throws IOException {
        return serve(ELSEWHERE, true, false);
    }

    private static String address(FakeControl control) {
        InetSocketAddress socket = (InetSocketAddress) control.mServer.getListenSockets().get(0);
        return socket.getHostString() + ":" + socket.getPort();
    }

    private OriginCalls calls() {
        List<String> addresses = mControls.stream().map(OriginCallsTest::address).toList();
        return new OriginCalls(mChannels, addresses, HERE, 0, TIMEOUT, mEvents::add);
    }

    private DirectEvent nextEvent() throws InterruptedException {
        return mEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static DirectEffect.RecordStream record() {
        return new DirectEffect.RecordStream(7, 99, ORIGIN, new BackendRef("w", 1), WINDOW, false);
    }

    private static DirectEffect.FindStream find() {
        return new DirectEffect.FindStream(8, 99, "s", WINDOW);
    }

    private static boolean hasRecord(FakeControl control) throws InterruptedException {
        return control.mRecords.poll(WAIT_SECONDS, TimeUnit.SECONDS) != null;
    }

    // Guards against a record that a lost machine takes with it, together with its router.
    @Test
    void recordGoesToTwoInstancesOfOtherMachines() throws Exception {
        FakeControl own = answering(HERE);
        FakeControl second = answering(ELSEWHERE);
        FakeControl third = answering(ELSEWHERE);
        calls().record(record());
        assertThat(nextEvent())
                .isEqualTo(new DirectEvent.StreamRecorded(7, true, Optional.empty()));
        assertThat(hasRecord(second)).isTrue();
        assertThat(hasRecord(third)).isTrue();
        assertThat(own.mRecords).isEmpty();
    }

    @Test
    void soleInstanceOnTheOwnMachineKeepsTheRecord() throws Exception {
        FakeControl own = answering(HERE);
        calls().record(record());
        assertThat(nextEvent())
                .isEqualTo(new DirectEvent.StreamRecorded(7, true, Optional.empty()));
        assertThat(hasRecord(own)).isTrue();
    }

    // Guards against a record that is lost since the instances meant for it are gone.
    @Test
    void recordGoesToTheNextInstanceIfOthersFail() throws Exception {
        FakeControl gone = answering(ELSEWHERE);
        FakeControl silent = silent();
        FakeControl last = answering(ELSEWHERE);
        OriginCalls calls = calls();
        gone.mServer.shutdownNow();
        calls.record(record());
        assertThat(nextEvent())
                .isEqualTo(new DirectEvent.StreamRecorded(7, true, Optional.empty()));
        assertThat(hasRecord(last)).isTrue();
        assertThat(hasRecord(silent)).isTrue();
    }

    @Test
    void failureIsReportedIfNoInstanceTakesTheRecord() throws Exception {
        silent();
        silent();
        calls().record(record());
        assertThat(nextEvent())
                .isEqualTo(new DirectEvent.StreamRecorded(7, false, Optional.empty()));
    }

    // Guards against a new connection for each stream while control is of a version that keeps no
    // records, as in an update of routers before control.
    @Test
    void connectionIsKeptIfTheInstanceDoesNotKnowTheCall() throws Exception {
        Server old =
                NettyServerBuilder.forAddress(new InetSocketAddress(ELSEWHERE, 0))
                        .addService(new ControlServiceImplBase() {})
                        .build()
                        .start();
        try {
            String address = ELSEWHERE + ":" + old.getPort();
            ManagedChannel channel = mChannels.get(address);
            new OriginCalls(mChannels, List.of(address), HERE, 0, TIMEOUT, mEvents::add)
                    .record(record());
            assertThat(nextEvent())
                    .isEqualTo(new DirectEvent.StreamRecorded(7, false, Optional.empty()));
            assertThat(mChannels.get(address)).isSameAs(channel);
        } finally {
            old.shutdownNow();
        }
    }

    // Guards against a lookup that waits for a silent instance although another one knows.
    @Test
    void lookupEndsWithTheFirstInstanceThatKnows() throws Exception {
        silent();
        serve(ELSEWHERE, false, true);
        calls().find(find());
        DirectEvent.StreamFound found = (DirectEvent.StreamFound) nextEvent();
        assertThat(found.lookup()).isEqualTo(8);
        assertThat(found.answer().origin()).contains(ORIGIN);
        assertThat(found.answer().answered()).isEqualTo(1);
    }

    @Test
    void lookupTellsHowManyInstancesAnswered() throws Exception {
        silent();
        answering(ELSEWHERE);
        calls().find(find());
        DirectEvent.StreamFound found = (DirectEvent.StreamFound) nextEvent();
        assertThat(found.answer().origin()).isEmpty();
        assertThat(found.answer().asked()).isEqualTo(2);
        assertThat(found.answer().answered()).isEqualTo(1);
    }
}
