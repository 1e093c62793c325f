package org.laurelweir.control.rpc;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.ControlEffect.AnnounceToPeers;
import org.laurelweir.coordination.ControlEffect.RequestPeerUpdate;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.v1.AnnounceRequest;
import org.laurelweir.wire.v1.IdentifyReply;
import org.laurelweir.wire.v1.IdentifyRequest;
import org.laurelweir.wire.v1.PeerServiceGrpc;
import org.laurelweir.wire.v1.ReplicaEnvelope;
import org.laurelweir.wire.v1.ReplicaServiceGrpc;
import org.laurelweir.wire.v1.ReplicaServiceGrpc.ReplicaServiceFutureStub;
import org.laurelweir.wire.v1.ShareMembershipReply;
import org.laurelweir.wire.v1.ShareMembershipRequest;

/**
 * Calls the other control instances. No call is retried here: each is lost or answered, and the
 * reducer decides what to do next. If a call fails or times out, the next call uses a new
 * connection.
 */
public final class PeerCalls {
    private static final Duration TIMEOUT = Duration.ofMillis(1500);

    /**
     * Messages of this size or more are compressed. A settings tree and its operator's text are
     * sent to other data centres with each change, and they compress well. For heartbeats and
     * single commands compression would only cost processor time.
     */
    private static final int MIN_COMPRESSED_BYTES = 16 << 10;

    private static final String COMPRESSION = "gzip";

    private final ReplicaId mSelf;
    private final Map<String, String> mAddresses;
    private final boolean mAutoJoin;
    private final Channels mChannels;
    private final Consumer<ControlEvent> mEvents;
    private final Map<String, CallsInFlight> mInFlight = new ConcurrentHashMap<>();
    private final Set<String> mPendingUpdates = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client for the calls to other control instances.
     *
     * @param self this instance with its storage id
     * @param addresses the other control instances by name, host:port
     * @param autoJoin whether there may be other instances, whose names are their addresses
     * @param channels provides connections
     * @param events receives answers, from any thread
     */
    public PeerCalls(
            ReplicaId self,
            Map<String, String> addresses,
            boolean autoJoin,
            Channels channels,
            Consumer<ControlEvent> events) {
        mSelf = self;
        mAddresses = new TreeMap<>(addresses);
        mAutoJoin = autoJoin;
        mChannels = channels;
        mEvents = events;
    }

    private String addressOf(String name) {
        return mAddresses.getOrDefault(name, mAutoJoin ? name : null);
    }

    /**
     * Sends a replica's message. The message is dropped if the peer is unknown or has too many
     * unanswered messages.
     */
    public void send(ConsensusEffect.Send send) {
        String name = send.to().name();
        String address = addressOf(name);
        if (address == null) {
            return;
        }
        ReplicaEnvelope message = ReplicaCodec.toWire(mSelf, send.to(), send.message());
        int bytes = message.getSerializedSize();
        CallsInFlight inFlight = mInFlight.computeIfAbsent(name, n -> new CallsInFlight());
        if (!inFlight.tryBegin(bytes)) {
            return;
        }
        ManagedChannel channel = mChannels.get(address);
        watch(
                address,
                channel,
                stubFor(message, channel).deliver(message),
                reply -> {},
                () -> inFlight.end(bytes));
    }

    private static ReplicaServiceFutureStub stubFor(ReplicaEnvelope message, ManagedChannel c) {
        ReplicaServiceFutureStub stub =
                ReplicaServiceGrpc.newFutureStub(c)
                        .withDeadlineAfter(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        boolean isLarge = message.getSerializedSize() >= MIN_COMPRESSED_BYTES;
        return isLarge ? stub.withCompression(COMPRESSION) : stub;
    }

    /** Requests a peer's update, unless an earlier request to the peer is still pending. */
    public void requestUpdate(RequestPeerUpdate request) {
        String address = addressOf(request.peer());
        if (address == null || !mPendingUpdates.add(request.peer())) {
            return;
        }
        ManagedChannel channel = mChannels.get(address);
        ListenableFuture<ShareMembershipReply> reply =
                PeerServiceGrpc.newFutureStub(channel)
                        .withDeadlineAfter(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                        .shareMembership(
                                ShareMembershipRequest.newBuilder()
                                        .setControl(mSelf.name())
                                        .setCursor(MembershipCodec.toWire(request.cursor()))
                                        .setCrashesSeen(request.crashesVersion())
                                        .setWithRouters(request.withRouters())
                                        .build());
        watch(
                address,
                channel,
                reply,
                r -> mEvents.accept(StatusReplies.toCore(request.peer(), r)),
                () -> mPendingUpdates.remove(request.peer()));
    }

    /** Sends the changes on this instance to every peer. */
    public void announce(AnnounceToPeers e) {
        AnnounceRequest.Builder request = AnnounceRequest.newBuilder();
        e.announcements().forEach(a -> request.addAnnouncements(MembershipCodec.toWire(a)));
        request.addAllCrashes(CrashCodec.toWire(e.crashes()));
        request.setLoads(LoadCodec.toWire(e.loads()));
        for (String peer : e.peers()) {
            String address = addressOf(peer);
            ManagedChannel channel = mChannels.get(address);
            watch(
                    address,
                    channel,
                    PeerServiceGrpc.newFutureStub(channel)
                            .withDeadlineAfter(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                            .announce(request.build()),
                    reply -> {},
                    () -> {});
        }
    }

    /**
     * Asks every peer for its replica id and whether its storage is empty.
     *
     * @return an answer for each peer, null for a peer that did not answer
     */
    public ListenableFuture<List<IdentifyReply>> identifyAll() {
        return Futures.successfulAsList(
                mAddresses.values().stream()
                        .map(
                                a ->
                                        ReplicaServiceGrpc.newFutureStub(mChannels.get(a))
                                                .withDeadlineAfter(
                                                        TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                                                .identify(IdentifyRequest.getDefaultInstance()))
                        .toList());
    }

    private <R> void watch(
            String address,
            ManagedChannel channel,
            ListenableFuture<R> call,
            Consumer<R> onReply,
            Runnable onEnd) {
        FutureCallback<R> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(R reply) {
                        onEnd.run();
                        onReply.accept(reply);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        onEnd.run();
                        mChannels.reconnect(address, channel);
                    }
                };
        Futures.addCallback(call, callback, MoreExecutors.directExecutor());
    }
}
