package org.laurelweir.router.rpc;

import io.grpc.stub.StreamObserver;
import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.runtime.rpc.Explanations;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.ExplainUnsentReply;
import org.laurelweir.wire.v1.ExplainUnsentRequest;
import org.laurelweir.wire.v1.RouterServiceGrpc;

/** The RPC service by which operators query the router's latest routing decisions. */
public final class ExplainService extends RouterServiceGrpc.RouterServiceImplBase {
    private final DecisionRing mDecisions;
    private final UnsentRequests mUnsent;

    /**
     * Creates the service.
     *
     * @param decisions the latest decisions
     * @param unsent explains requests that are not sent
     */
    public ExplainService(DecisionRing decisions, UnsentRequests unsent) {
        mUnsent = unsent;
        mDecisions = decisions;
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainReply> reply) {
        reply.onNext(Explanations.answer(mDecisions, request));
        reply.onCompleted();
    }

    @Override
    public void explainUnsent(
            ExplainUnsentRequest request, StreamObserver<ExplainUnsentReply> reply) {
        mUnsent.explain(request, reply);
    }
}
