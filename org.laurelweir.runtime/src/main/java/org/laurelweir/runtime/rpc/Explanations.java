package org.laurelweir.runtime.rpc;

import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.wire.DecisionCodec;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;

/** Answers operators who ask why requests went where they did, alike in every program. */
public final class Explanations {
    private static final int DEFAULT_LIMIT = 20;

    private Explanations() {}

    /**
     * Returns the decisions that were asked for, the newest first.
     *
     * @param ring the decisions known
     * @param request what they have to be about; a limit of 0 stands for the usual one
     */
    public static ExplainReply answer(DecisionRing ring, ExplainRequest request) {
        int limit = request.getLimit() == 0 ? DEFAULT_LIMIT : request.getLimit();
        ExplainReply.Builder found = ExplainReply.newBuilder();
        ring.find(request.getSubject(), limit)
                .forEach(d -> found.addDecisions(DecisionCodec.toWire(d)));
        return found.build();
    }
}
