package org.laurelweir.router.rpc;

import io.grpc.stub.StreamObserver;
import org.laurelweir.lib.Decision;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RouterServiceGrpc;

/** Answers operators who ask why requests went where they did. */
public final class ExplainService extends RouterServiceGrpc.RouterServiceImplBase {
    private static final int DEFAULT_LIMIT = 20;

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
        int limit = request.getLimit() == 0 ? DEFAULT_LIMIT : request.getLimit();
        ExplainReply.Builder found = ExplainReply.newBuilder();
        mRing.find(request.getSubject(), limit).forEach(d -> found.addDecisions(message(d)));
        reply.onNext(found.build());
        reply.onCompleted();
    }

    private static org.laurelweir.wire.v1.Decision message(Decision d) {
        return org.laurelweir.wire.v1.Decision.newBuilder()
                .setAtMillis(d.at().toEpochMilli())
                .setProgram(d.program())
                .setRequest(d.request())
                .setChat(d.chat())
                .setAccount(d.account())
                .setService(d.service())
                .addAllCandidates(d.candidates())
                .setChoice(d.choice())
                .setReason(d.reason())
                .setLoad(d.load())
                .setBound(d.bound())
                .build();
    }
}
