package org.laurelweir.sidecar.rpc;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.stub.StreamObserver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.v1.ChatLocation;
import org.laurelweir.wire.v1.HandOverChatsReply;
import org.laurelweir.wire.v1.HandOverChatsRequest;
import org.laurelweir.wire.v1.LocateChatsReply;
import org.laurelweir.wire.v1.LocateChatsRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** Requests chat locations from other sidecars of the service, and hands chat locations over. */
public final class PeerSidecars {
    private static final long LOCATE_TIMEOUT_MILLIS = 100;
    private static final long HAND_OVER_TIMEOUT_SECONDS = 2;

    private final Channels mChannels;
    private final String mSelf;
    private final String mService;
    private final Consumer<SidecarEvent> mEvents;

    /**
     * Creates a client of the other sidecars.
     *
     * @param channels the connections to the other sidecars
     * @param self the name of this sidecar's backend server
     * @param service the service that all of these sidecars belong to
     * @param events receives the answers
     */
    public PeerSidecars(
            Channels channels, String self, String service, Consumer<SidecarEvent> events) {
        mChannels = channels;
        mSelf = self;
        mService = service;
        mEvents = events;
    }

    /**
     * Requests chat locations. A failed or timed-out call counts as an answer without locations.
     */
    public void locateChats(SidecarEffect.LocateChats effect) {
        LocateChatsRequest request =
                LocateChatsRequest.newBuilder()
                        .setService(mService)
                        .addAllChats(effect.chats())
                        .build();
        Futures.addCallback(
                SidecarServiceGrpc.newFutureStub(mChannels.get(effect.address()))
                        .withDeadlineAfter(LOCATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .locateChats(request),
                new FutureCallback<LocateChatsReply>() {
                    @Override
                    public void onSuccess(LocateChatsReply reply) {
                        onLocated(effect.requestId(), toCore(reply.getLocationsList()));
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        onLocated(effect.requestId(), Map.of());
                    }
                },
                MoreExecutors.directExecutor());
    }

    private void onLocated(long question, Map<Long, String> locations) {
        mEvents.accept(new SidecarEvent.ChatsLocated(question, locations));
    }

    /**
     * Hands chat locations over, without a retry: a lost location only costs the reuse of cached
     * history.
     */
    public void handOverChats(SidecarEffect.HandOverChats effect) {
        HandOverChatsRequest.Builder request =
                HandOverChatsRequest.newBuilder().setFrom(mSelf).setService(mService);
        effect.locations().forEach((c, b) -> request.addLocations(toWire(c, b)));
        SidecarServiceGrpc.newStub(mChannels.get(effect.address()))
                .withDeadlineAfter(HAND_OVER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .handOverChats(request.build(), new IgnoreReply());
    }

    static Map<Long, String> toCore(List<ChatLocation> locations) {
        Map<Long, String> map = new HashMap<>();
        locations.forEach(l -> map.put(l.getChat(), l.getBackend()));
        return map;
    }

    static ChatLocation toWire(long chat, String backend) {
        return ChatLocation.newBuilder().setChat(chat).setBackend(backend).build();
    }

    private static final class IgnoreReply implements StreamObserver<HandOverChatsReply> {
        @Override
        public void onNext(HandOverChatsReply reply) {
            // The reply carries no data.
        }

        @Override
        public void onError(Throwable failure) {
            // The locations are lost; handOverChats() makes no retry.
        }

        @Override
        public void onCompleted() {
            // No caller waits for the end of the call.
        }
    }
}
