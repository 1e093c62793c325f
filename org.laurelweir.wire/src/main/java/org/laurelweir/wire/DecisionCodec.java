package org.laurelweir.wire;

import org.laurelweir.lib.Decision;

/** Converts decisions for operators who ask why a request went where it did. */
public final class DecisionCodec {
    private DecisionCodec() {}

    /** Returns the message of a decision. */
    public static org.laurelweir.wire.v1.Decision toWire(Decision d) {
        return org.laurelweir.wire.v1.Decision.newBuilder()
                .setAtMillis(d.time().toEpochMilli())
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
                .setVersion(d.version())
                .build();
    }
}
