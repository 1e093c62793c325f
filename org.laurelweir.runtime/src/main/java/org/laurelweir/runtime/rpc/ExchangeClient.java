package org.laurelweir.runtime.rpc;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/**
 * Exchanges with the nearest control instance that answers, and counts the bytes this takes.
 *
 * <p>An instance that does not answer in time is left for the next one, and its connection is
 * dropped: it may have gone silent for good while new connections work. The next try at that
 * instance opens a new one: after one round, or after a minute's exchanges with a farther one. Any
 * thread may use a client.
 */
public final class ExchangeClient implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * A starting router's first answer holds the whole settings tree and membership, some megabytes
     * for tens of thousands of client accounts. Above gRPC's usual limit every such answer would
     * fail, and the router would never become ready.
     */
    private static final int MAX_MESSAGE_BYTES = 32 << 20;

    private final Duration mTimeout;
    private final ByteCounter mBytes = new ByteCounter();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SessionCounter mSessions = new SessionCounter();
    private final List<String> mGiven;
    private final ControlOrder mOrder;
    private final NearestControl mControl;
    private final Set<String> mSilent = new HashSet<>();
    private boolean mStopped;
    private ManagedChannel mChannel;

    /**
     * Creates a client; it connects with the first exchange.
     *
     * @param addresses control instances, host:port, the nearest first; at least one
     * @param timeout longest wait for one instance's answer
     */
    public ExchangeClient(List<String> addresses, Duration timeout) {
        this(addresses, timeout, ControlOrder.GIVEN);
    }

    /**
     * Creates a client that asks instances in an order of its own.
     *
     * @param addresses control instances, host:port; at least one
     * @param timeout longest wait for one instance's answer
     * @param order in which they are asked
     */
    public ExchangeClient(List<String> addresses, Duration timeout, ControlOrder order) {
        mGiven = List.copyOf(addresses);
        mOrder = order;
        mControl = new NearestControl(order.order(mGiven, List.of()));
        mTimeout = timeout;
    }

    /**
     * Adds control instances that were not known at the start.
     *
     * @param addresses host:port, as a control instance tells them
     */
    public synchronized void learn(List<String> addresses) {
        mControl.use(mOrder.order(mGiven, addresses));
    }

    @Override
    public void start() {
        // Connections are opened when there is something to send.
    }

    /**
     * Tells a sidecar's report and asks for what is new.
     *
     * @param report what the sidecar announces; the client counts its sessions
     * @param cursor how far its view of the membership reaches
     * @param settingsPosition the log position of its settings
     * @return the answer; fails with a LaurelweirException UNREACHABLE if no instance answers
     */
    public CompletableFuture<ExchangeAnswer> exchange(
            SidecarReport report, MembershipCursor cursor, long settingsPosition) {
        return exchange(
                () ->
                        request(cursor, settingsPosition)
                                .setSidecar(MembershipCodec.toWire(mSessions.stamp(report))));
    }

    /**
     * Tells a router's report and asks for what is new.
     *
     * @param report what the router tells of itself
     * @param cursor how far its view of the membership reaches
     * @param settingsPosition the log position of its settings
     * @param crashes under which requests backend servers ended, as far as control lacks it
     * @param loads all that the router has under way at backend servers without sidecars
     * @return the answer; fails with a LaurelweirException UNREACHABLE if no instance answers
     */
    public CompletableFuture<ExchangeAnswer> exchange(
            RouterReport report,
            MembershipCursor cursor,
            long settingsPosition,
            CrashReport crashes,
            LoadReport loads) {
        return exchange(
                () ->
                        request(cursor, settingsPosition)
                                .setRouter(MembershipCodec.toWire(report))
                                .setCrashesSeen(crashes.seen())
                                .addAllCrashes(CrashCodec.toWire(crashes.records()))
                                .setLoads(LoadCodec.toWire(loads)));
    }

    /** Returns the bytes sent to control instances since the client was made, framing included. */
    public long bytesSent() {
        return mBytes.sent();
    }

    /** Returns the bytes received from control instances since the client was made. */
    public long bytesReceived() {
        return mBytes.received();
    }

    /** Returns the instance that exchanges go to now. */
    public synchronized String currentAddress() {
        return mControl.address();
    }

    private static ExchangeRequest.Builder request(MembershipCursor cursor, long position) {
        return ExchangeRequest.newBuilder()
                .setMembership(MembershipCodec.toWire(cursor))
                .setSettingsPosition(position)
                .setReadsPackedNodes(true);
    }

    private CompletableFuture<ExchangeAnswer> exchange(Supplier<ExchangeRequest.Builder> request) {
        CompletableFuture<ExchangeAnswer> answer = new CompletableFuture<>();
        attempt(request, 0, answer);
        return answer;
    }

    private void attempt(
            Supplier<ExchangeRequest.Builder> request,
            int failed,
            CompletableFuture<ExchangeAnswer> answer) {
        ManagedChannel channel = channel();
        if (channel == null) {
            answer.cancel(false);
            return;
        }
        FutureCallback<ExchangeReply> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(ExchangeReply reply) {
                        ExchangeAnswer read;
                        try {
                            read = ExchangeAnswer.of(reply);
                        } catch (RuntimeException e) {
                            // An answer that can't be read is worth no more than none.
                            onFailure(e);
                            return;
                        }
                        taken(channel, reply);
                        answer.complete(read);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        leave(channel, failure);
                        retry(request, failed + 1, answer, failure);
                    }
                };
        Futures.addCallback(
                ControlServiceGrpc.newFutureStub(channel)
                        .withDeadlineAfter(mTimeout.toNanos(), TimeUnit.NANOSECONDS)
                        .exchange(request.get().build()),
                callback,
                MoreExecutors.directExecutor());
    }

    private void retry(
            Supplier<ExchangeRequest.Builder> request,
            int failed,
            CompletableFuture<ExchangeAnswer> answer,
            Throwable failure) {
        if (failed < mControl.size()) {
            attempt(request, failed, answer);
            return;
        }
        answer.completeExceptionally(
                new LaurelweirException(
                        ResultCode.UNREACHABLE, "no control instance answers", failure));
    }

    private synchronized ManagedChannel channel() {
        if (mStopped) {
            return null;
        }
        if (mControl.returns()) {
            move();
        }
        if (mChannel == null) {
            mChannel = open(mControl.address());
        }
        return mChannel;
    }

    private synchronized void taken(ManagedChannel channel, ExchangeReply reply) {
        mSessions.raise(reply.getLeastSession());
        if (channel == mChannel && mSilent.remove(mControl.address())) {
            sLogger.atInfo().log("control instance %s answers again", mControl.address());
        }
        if (channel == mChannel && mControl.leavesStale(reply.getPossiblyStale())) {
            move();
        }
    }

    private void move() {
        if (mChannel != null) {
            mChannel.shutdown();
        }
        mChannel = null;
        mSessions.moved();
    }

    private synchronized void leave(ManagedChannel channel, Throwable failure) {
        // Several exchanges may have failed over one connection: only the first one moves on.
        if (channel != mChannel) {
            return;
        }
        // Once for each loss: a router that finds nobody asks several times a second.
        if (mSilent.add(mControl.address())) {
            sLogger.atInfo().log(
                    "control instance %s does not answer: %s",
                    mControl.address(), failure.getMessage());
        }
        mControl.leave();
        move();
        channel.shutdownNow();
    }

    private ManagedChannel open(String address) {
        return NettyChannelBuilder.forTarget("dns:///" + address)
                .usePlaintext()
                .eventLoopGroup(mGroup)
                .channelFactory(this::newCountedChannel)
                .directExecutor()
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .build();
    }

    private NioSocketChannel newCountedChannel() {
        NioSocketChannel channel = new NioSocketChannel();
        channel.pipeline().addFirst(mBytes);
        return channel;
    }

    @Override
    public synchronized void stop() {
        mStopped = true;
        if (mChannel != null) {
            mChannel.shutdownNow();
            mChannel = null;
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
