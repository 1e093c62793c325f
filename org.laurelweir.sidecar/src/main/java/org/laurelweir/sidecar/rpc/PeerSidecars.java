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

/** Asks other sidecars where chats sit, and hands entries over to them. */
public final class PeerSidecars {
    private static final long ASK_MILLIS = 100;
    private static final long HAND_OVER_SECONDS = 2;

    private final Channels mChannels;
    private final String mSelf;
    private final String mService;
    private final Consumer<SidecarEvent> mEvents;

    /**
     * Creates it.
     *
     * @param channels reach the other sidecars
     * @param self this one's backend server
     * @param service their service
     * @param events takes answers
     */
    public PeerSidecars(
            Channels channels, String self, String service, Consumer<SidecarEvent> events) {
        mChannels = channels;
        mSelf = self;
        mService = service;
        mEvents = events;
    }

    /** Asks; a question that gets no answer counts as one that nobody could answer. */
    public void ask(SidecarEffect.LocateChats effect) {
        LocateChatsRequest request =
                LocateChatsRequest.newBuilder()
                        .setService(mService)
                        .addAllChats(effect.chats())
                        .build();
        Futures.addCallback(
                SidecarServiceGrpc.newFutureStub(mChannels.get(effect.address()))
                        .withDeadlineAfter(ASK_MILLIS, TimeUnit.MILLISECONDS)
                        .locateChats(request),
                new FutureCallback<LocateChatsReply>() {
                    @Override
                    public void onSuccess(LocateChatsReply reply) {
                        located(effect.question(), toMap(reply.getLocationsList()));
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        located(effect.question(), Map.of());
                    }
                },
                MoreExecutors.directExecutor());
    }

    private void located(long question, Map<Long, String> locations) {
        mEvents.accept(new SidecarEvent.ChatsLocated(question, locations));
    }

    /** Hands entries over. What is lost on the way costs cached history only: no second try. */
    public void handOver(SidecarEffect.HandOverChats effect) {
        HandOverChatsRequest.Builder request =
                HandOverChatsRequest.newBuilder().setFrom(mSelf).setService(mService);
        effect.locations().forEach((c, b) -> request.addLocations(toMessage(c, b)));
        SidecarServiceGrpc.newStub(mChannels.get(effect.address()))
                .withDeadlineAfter(HAND_OVER_SECONDS, TimeUnit.SECONDS)
                .handOverChats(request.build(), new IgnoreReply());
    }

    static Map<Long, String> toMap(List<ChatLocation> locations) {
        Map<Long, String> map = new HashMap<>();
        locations.forEach(l -> map.put(l.getChat(), l.getBackend()));
        return map;
    }

    static ChatLocation toMessage(long chat, String backend) {
        return ChatLocation.newBuilder().setChat(chat).setBackend(backend).build();
    }

    private static final class IgnoreReply implements StreamObserver<HandOverChatsReply> {
        @Override
        public void onNext(HandOverChatsReply reply) {
            // Says nothing but that it arrived.
        }

        @Override
        public void onError(Throwable failure) {
            // The entries are lost, as handOver() allows.
        }

        @Override
        public void onCompleted() {
            // Nothing waits for it.
        }
    }
}
