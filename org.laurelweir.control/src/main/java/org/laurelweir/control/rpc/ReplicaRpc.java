package org.laurelweir.control.rpc;

import io.grpc.stub.StreamObserver;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.v1.DeliverReply;
import org.laurelweir.wire.v1.IdentifyReply;
import org.laurelweir.wire.v1.IdentifyRequest;
import org.laurelweir.wire.v1.ReplicaEnvelope;
import org.laurelweir.wire.v1.ReplicaServiceGrpc.ReplicaServiceImplBase;

/** Receives the messages of other replicas of the log. */
public final class ReplicaRpc extends ReplicaServiceImplBase {
    private final ReplicaId mSelf;
    private final BooleanSupplier mEmpty;
    private final Consumer<ControlEvent> mEvents;

    /**
     * Creates the service.
     *
     * @param self this instance with its storage id
     * @param empty returns whether the storage is still empty
     * @param events receives events, from any thread
     */
    public ReplicaRpc(ReplicaId self, BooleanSupplier empty, Consumer<ControlEvent> events) {
        mSelf = self;
        mEmpty = empty;
        mEvents = events;
    }

    @Override
    public void deliver(ReplicaEnvelope e, StreamObserver<DeliverReply> out) {
        // A message for an earlier disk of this instance is dropped. It refers to votes and entries
        // that this disk does not hold, and an answer would count a copy that is lost.
        if (ReplicaCodec.toCore(e.getTo()).equals(mSelf)) {
            ReplicaId from = ReplicaCodec.toCore(e.getFrom());
            mEvents.accept(
                    new ControlEvent.ReplicaEvent(
                            new MessageReceived(from, ReplicaCodec.toCore(e))));
        }
        PendingCalls.send(out, DeliverReply.getDefaultInstance());
    }

    @Override
    public void identify(IdentifyRequest r, StreamObserver<IdentifyReply> out) {
        PendingCalls.send(
                out,
                IdentifyReply.newBuilder()
                        .setReplica(ReplicaCodec.toWire(mSelf))
                        .setEmpty(mEmpty.getAsBoolean())
                        .build());
    }
}
