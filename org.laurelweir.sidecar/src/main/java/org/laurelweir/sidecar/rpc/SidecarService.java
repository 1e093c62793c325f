package org.laurelweir.sidecar.rpc;

import io.grpc.stub.StreamObserver;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.RevokeReply;
import org.laurelweir.wire.v1.RevokeRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** Turns calls into events and answers them when the decision is there. */
public final class SidecarService extends SidecarServiceGrpc.SidecarServiceImplBase {
    private final AttemptStreams mStreams;
    private final Consumer<SidecarEvent> mEvents;
    private final PendingCalls<RevokeReply> mRevocations = new PendingCalls<>();

    /**
     * Creates the service.
     *
     * @param streams carries the attempts
     * @param events takes what is asked
     */
    public SidecarService(AttemptStreams streams, Consumer<SidecarEvent> events) {
        mStreams = streams;
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
                        mRevocations.add(reply),
                        IdCodec.toCore(request.getAttempt()),
                        IdCodec.toCore(request.getTarget())));
    }

    /** Answers a revocation. */
    public void answer(SidecarEffect.AnswerRevoke effect) {
        RevokeReply reply =
                RevokeReply.newBuilder()
                        .setState(AttemptCodec.toWire(effect.state()))
                        .setAnsweredBy(IdCodec.toWire(effect.self()))
                        .build();
        mRevocations.answer(effect.call(), reply);
    }
}
