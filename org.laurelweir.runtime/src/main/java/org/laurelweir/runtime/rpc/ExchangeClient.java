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
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.wire.ContentionCodec;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/**
 * Exchanges reports and updates with the nearest control instance that answers, and counts the
 * bytes on the wire.
 *
 * <p>If an instance does not answer in time, the client drops the connection and tries the next
 * instance. A connection may stay silent for good while new connections work, so the next attempt
 * at the same instance opens a new one: after one round over all instances, or after a minute of
 * exchanges with a farther instance. Thread-safe.
 */
public final class ExchangeClient implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * The first answer to a starting router holds the whole settings tree and membership: some
     * megabytes for tens of thousands of client accounts. With gRPC's default limit, every such
     * answer would fail, and the router would never become ready.
     */
    private static final int MAX_MESSAGE_BYTES = 32 << 20;

    private final Duration mTimeout;
    private final ByteCounter mByteCounter = new ByteCounter();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SessionCounter mSessions = new SessionCounter();
    private final List<String> mConfiguredAddresses;
    private final ControlOrder mOrder;
    private final NearestControl mNearestControl;
    private final Set<String> mUnresponsive = new HashSet<>();
    private boolean mStopped;
    private ManagedChannel mChannel;

    /**
     * Creates a client that tries the instances in the given order. It connects on the first
     * exchange.
     *
     * @param addresses control instances, host:port, the nearest first; at least one
     * @param timeout maximum wait for one instance's answer
     */
    public ExchangeClient(List<String> addresses, Duration timeout) {
        this(addresses, timeout, ControlOrder.GIVEN);
    }

    /**
     * Creates a client that tries the instances in another order than the given one.
     *
     * @param addresses control instances, host:port; at least one
     * @param timeout maximum wait for one instance's answer
     * @param order order in which the instances are tried
     */
    public ExchangeClient(List<String> addresses, Duration timeout, ControlOrder order) {
        mConfiguredAddresses = List.copyOf(addresses);
        mOrder = order;
        mNearestControl = new NearestControl(order.order(mConfiguredAddresses, List.of()));
        mTimeout = timeout;
    }

    /**
     * Sets the instances learned from control. Replaces those learned before; the instances given
     * at the start stay.
     *
     * @param addresses host:port, as reported by a control instance
     */
    public synchronized void setLearnedAddresses(List<String> addresses) {
        mNearestControl.setAddresses(mOrder.order(mConfiguredAddresses, addresses));
    }

    @Override
    public void start() {
        // The connection opens on the first exchange.
    }

    /**
     * Sends a sidecar's report and requests updates.
     *
     * @param report the sidecar's report; the client sets the session
     * @param cursor position of the sender's view of the membership
     * @param settingsPosition the log position of the sender's settings
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
     * Sends a router's report and requests updates.
     *
     * @param report the router's report
     * @param cursor position of the sender's view of the membership
     * @param settingsPosition the log position of the sender's settings
     * @param crashes crashes of backend servers under requests that control does not know yet
     * @param loads the router's requests in flight at backend servers without sidecars
     * @param contention the demand of the router's requests; {@link ContentionReport#NONE} if it
     *     never had any
     * @return the answer; fails with a LaurelweirException UNREACHABLE if no instance answers
     */
    public CompletableFuture<ExchangeAnswer> exchange(
            RouterReport report,
            MembershipCursor cursor,
            long settingsPosition,
            CrashReport crashes,
            LoadReport loads,
            ContentionReport contention) {
        return exchange(
                () ->
                        ContentionCodec.addTo(
                                request(cursor, settingsPosition)
                                        .setRouter(MembershipCodec.toWire(report))
                                        .setCrashesSeen(crashes.seen())
                                        .addAllCrashes(CrashCodec.toWire(crashes.records()))
                                        .setLoads(LoadCodec.toWire(loads)),
                                contention));
    }

    /**
     * Returns the bytes sent to control instances since the client was created, including framing.
     */
    public long bytesSent() {
        return mByteCounter.sent();
    }

    /**
     * Returns the bytes received from control instances since the client was created, including
     * framing.
     */
    public long bytesReceived() {
        return mByteCounter.received();
    }

    /** Returns the address of the instance that the client currently uses. */
    public synchronized String currentAddress() {
        return mNearestControl.address();
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
            int failedAttempts,
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
                        ExchangeAnswer decoded;
                        try {
                            decoded = ExchangeAnswer.of(reply);
                        } catch (RuntimeException e) {
                            // An answer that cannot be decoded counts as a failure.
                            onFailure(e);
                            return;
                        }
                        handleReply(channel, reply);
                        answer.complete(decoded);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        leaveInstance(channel, failure);
                        retry(request, failedAttempts + 1, answer, failure);
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
            int failedAttempts,
            CompletableFuture<ExchangeAnswer> answer,
            Throwable failure) {
        if (failedAttempts < mNearestControl.size()) {
            attempt(request, failedAttempts, answer);
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
        if (mNearestControl.returnToNearestIfDue()) {
            closeChannel();
        }
        if (mChannel == null) {
            mChannel = open(mNearestControl.address());
        }
        return mChannel;
    }

    private synchronized void handleReply(ManagedChannel channel, ExchangeReply reply) {
        mSessions.raiseTo(reply.getLeastSession());
        if (channel == mChannel && mUnresponsive.remove(mNearestControl.address())) {
            sLogger.atInfo().log("control instance %s answers again", mNearestControl.address());
        }
        if (channel == mChannel && mNearestControl.moveToNextIfStale(reply.getPossiblyStale())) {
            closeChannel();
        }
    }

    private void closeChannel() {
        if (mChannel != null) {
            mChannel.shutdown();
        }
        mChannel = null;
        mSessions.startSession();
    }

    private synchronized void leaveInstance(ManagedChannel channel, Throwable failure) {
        // Several exchanges may fail on one connection. Only the first failure moves the client to
        // the next instance.
        if (channel != mChannel) {
            return;
        }
        // Logs each loss once, because a router without a control instance retries several times a
        // second.
        if (mUnresponsive.add(mNearestControl.address())) {
            sLogger.atInfo().log(
                    "control instance %s does not answer: %s",
                    mNearestControl.address(), failure.getMessage());
        }
        mNearestControl.moveToNext();
        closeChannel();
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
        channel.pipeline().addFirst(mByteCounter);
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
