package org.laurelweir.runtime.rpc;

import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.wire.DecisionCodec;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;

/** Answers operators' queries about routing decisions, in the same way in every program. */
public final class Explanations {
    private static final int DEFAULT_LIMIT = 20;

    private Explanations() {}

    /**
     * Returns the requested decisions, newest first.
     *
     * @param ring the recorded decisions
     * @param request subject and limit of the query; a limit of 0 selects the default limit
     */
    public static ExplainReply answer(DecisionRing ring, ExplainRequest request) {
        int limit = request.getLimit() == 0 ? DEFAULT_LIMIT : request.getLimit();
        ExplainReply.Builder found = ExplainReply.newBuilder();
        ring.find(request.getSubject(), limit)
                .forEach(d -> found.addDecisions(DecisionCodec.toWire(d)));
        return found.build();
    }
}
