package org.laurelweir.sidecar.rpc;

import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.runtime.rpc.Explanations;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.HandOverChatsReply;
import org.laurelweir.wire.v1.HandOverChatsRequest;
import org.laurelweir.wire.v1.LocateChatsReply;
import org.laurelweir.wire.v1.LocateChatsRequest;
import org.laurelweir.wire.v1.OrderReply;
import org.laurelweir.wire.v1.OrderRequest;
import org.laurelweir.wire.v1.RevokeReply;
import org.laurelweir.wire.v1.RevokeRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** The sidecar's gRPC service: turns calls into events and answers them once they are decided. */
public final class SidecarService extends SidecarServiceGrpc.SidecarServiceImplBase {
    private final AttemptStreams mStreams;
    private final Consumer<SidecarEvent> mEvents;
    private final DecisionRing mRing;
    private final PendingCalls<RevokeReply> mRevokeCalls = new PendingCalls<>();
    private final PendingCalls<LocateChatsReply> mLocateCalls = new PendingCalls<>();
    private final PendingCalls<OrderReply> mOrderCalls = new PendingCalls<>();

    /**
     * Creates the service.
     *
     * @param streams holds the streams of attempts
     * @param ring the decisions that can be explained
     * @param events receives an event for each call
     */
    public SidecarService(
            AttemptStreams streams, DecisionRing ring, Consumer<SidecarEvent> events) {
        mStreams = streams;
        mRing = ring;
        mEvents = events;
    }

    @Override
    public StreamObserver<AttemptMessage> attempt(StreamObserver<AttemptFrame> frames) {
        return mStreams.open(frames);
    }

    @Override
    public void revoke(RevokeRequest request, StreamObserver<RevokeReply> reply) {
        mEvents.accept(
                new SidecarEvent.AttemptRevoked(
                        mRevokeCalls.add(reply),
                        IdCodec.toCore(request.getAttempt()),
                        IdCodec.toCore(request.getTarget())));
    }

    /** Answers a revoke call with the attempt's state. */
    public void answer(SidecarEffect.AnswerRevoke effect) {
        RevokeReply reply =
                RevokeReply.newBuilder()
                        .setState(AttemptCodec.toWire(effect.state()))
                        .setAnsweredBy(IdCodec.toWire(effect.self()))
                        .build();
        mRevokeCalls.answer(effect.call(), reply);
    }

    @Override
    public void locateChats(LocateChatsRequest request, StreamObserver<LocateChatsReply> reply) {
        mEvents.accept(
                new SidecarEvent.LocateChatsRequested(
                        mLocateCalls.add(reply), request.getChatsList()));
    }

    /** Answers a call with the chat locations that are known here. */
    public void answer(SidecarEffect.AnswerLocateChats effect) {
        LocateChatsReply.Builder reply = LocateChatsReply.newBuilder();
        effect.locations().forEach((c, b) -> reply.addLocations(PeerSidecars.toWire(c, b)));
        mLocateCalls.answer(effect.call(), reply.build());
    }

    @Override
    public void handOverChats(
            HandOverChatsRequest request, StreamObserver<HandOverChatsReply> reply) {
        Map<Long, String> locations = PeerSidecars.toCore(request.getLocationsList());
        mEvents.accept(new SidecarEvent.ChatsHandedOver(request.getFrom(), locations));
        reply.onNext(HandOverChatsReply.getDefaultInstance());
        reply.onCompleted();
    }

    @Override
    public void order(OrderRequest request, StreamObserver<OrderReply> reply) {
        mEvents.accept(
                new SidecarEvent.OrderReceived(
                        mOrderCalls.add(reply),
                        request.getKind(),
                        request.getArgument(),
                        request.getFence()));
    }

    /** Answers an order with its result. */
    public void answerOrder(long call, ResultCode code, String message) {
        mOrderCalls.answer(
                call, OrderReply.newBuilder().setCode(code.number()).setMessage(message).build());
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainReply> reply) {
        reply.onNext(Explanations.answer(mRing, request));
        reply.onCompleted();
    }
}
