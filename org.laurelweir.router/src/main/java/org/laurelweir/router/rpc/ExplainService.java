package org.laurelweir.router.rpc;

import io.grpc.stub.StreamObserver;
import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.runtime.rpc.Explanations;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RouterServiceGrpc;

/** Answers operators who ask why requests went where they did. */
public final class ExplainService extends RouterServiceGrpc.RouterServiceImplBase {
    private final DecisionRing mRing;

    /**
     * Creates the service.
     *
     * @param ring the decisions it knows
     */
    public ExplainService(DecisionRing ring) {
        mRing = ring;
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainReply> reply) {
        reply.onNext(Explanations.answer(mRing, request));
        reply.onCompleted();
    }
}
