package org.laurelweir.sidecar;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/** A control instance with the real membership, but without settings and consensus. */
final class FakeControl extends ControlServiceGrpc.ControlServiceImplBase implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 60;

    private final InstantSource mClock = InstantSource.system();
    private final SharedMembership mMembership =
            new SharedMembership(
                    MembershipConfig.builder("c1", 1).build(), List.of(), (b, reason, own) -> {});
    private final Map<String, Integer> mExchangeCounts = new HashMap<>();
    private final Server mServer;
    private long mFence;

    FakeControl() throws IOException {
        mServer =
                NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
                        .addService(this)
                        .build()
                        .start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getPort();
    }

    synchronized void setFence(long fence) {
        mFence = fence;
    }

    /** Receives a report as from a sidecar, such as one of an earlier run. */
    synchronized void receiveReport(Backend backend) {
        mMembership.receiveReport(mClock.instant(), new SidecarReport(backend, 0, 0, 0));
    }

    synchronized List<Backend> backends() {
        return List.copyOf(mMembership.backends());
    }

    @Override
    public synchronized void exchange(
            ExchangeRequest request, StreamObserver<ExchangeReply> reply) {
        SidecarReport report = MembershipCodec.toCore(request.getSidecar());
        mMembership.tick(mClock.instant());
        int session = mMembership.receiveReport(mClock.instant(), report);
        mExchangeCounts.merge(report.backend().ref().id(), 1, Integer::sum);
        notifyAll();
        MembershipDelta delta =
                mMembership.deltaSince(
                        MembershipCodec.toCore(request.getMembership()),
                        report.backend().service());
        reply.onNext(
                ExchangeReply.newBuilder()
                        .setMembership(MembershipCodec.toWire(delta))
                        .setLeastSession(session)
                        .setFence(mFence)
                        .build());
        reply.onCompleted();
    }

    /** Waits until a sidecar has applied an answer that was sent after this call. */
    synchronized void awaitAnswerApplied(String sidecar) throws InterruptedException {
        // The first exchange may be in flight already. The second is answered after this call. The
        // sidecar applies that answer before it starts the third.
        int target = mExchangeCounts.getOrDefault(sidecar, 0) + 3;
        await(() -> mExchangeCounts.getOrDefault(sidecar, 0) >= target);
    }

    /** Waits until the membership has a backend server in a state. */
    synchronized Backend awaitBackend(String id, Backend.State state) throws InterruptedException {
        await(() -> find(id, state) != null);
        return find(id, state);
    }

    private Backend find(String id, Backend.State state) {
        return mMembership.backends().stream()
                .filter(b -> b.ref().id().equals(id) && b.state() == state)
                .findFirst()
                .orElse(null);
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            long left = deadline - System.nanoTime();
            if (left <= 0) {
                throw new AssertionError(
                        "condition not met in time; membership: " + mMembership.backends());
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
    }

    @Override
    public void close() {
        mServer.shutdownNow();
    }
}
