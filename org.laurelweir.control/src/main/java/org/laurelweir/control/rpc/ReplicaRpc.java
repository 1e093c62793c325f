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

/** Takes what other replicas of the log send. */
public final class ReplicaRpc extends ReplicaServiceImplBase {
    private final ReplicaId mSelf;
    private final BooleanSupplier mEmpty;
    private final Consumer<ControlEvent> mEvents;

    /**
     * Creates the service.
     *
     * @param self this instance with its disk's id
     * @param empty whether its disk holds nothing yet
     * @param events takes events, from any thread
     */
    public ReplicaRpc(ReplicaId self, BooleanSupplier empty, Consumer<ControlEvent> events) {
        mSelf = self;
        mEmpty = empty;
        mEvents = events;
    }

    @Override
    public void deliver(ReplicaEnvelope e, StreamObserver<DeliverReply> out) {
        // A message for the disk that was here before speaks of votes and entries that this one
        // does not hold; answered from here it would count a copy that is gone.
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
