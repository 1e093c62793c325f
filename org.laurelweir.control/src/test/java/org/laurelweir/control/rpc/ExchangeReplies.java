package org.laurelweir.control.rpc;

import com.google.protobuf.InvalidProtocolBufferException;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.wire.ContentionCodec;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/** Converts exchanges between bytes and the reducer's events and answers, for measurements. */
public final class ExchangeReplies {
    private ExchangeReplies() {}

    /** Returns the event for an encoded request. */
    public static ControlEvent event(long call, byte[] bytes) {
        try {
            ExchangeRequest r = ExchangeRequest.parseFrom(bytes);
            return r.hasSidecar()
                    ? new ControlEvent.SidecarExchanged(
                            call,
                            MembershipCodec.toCore(r.getSidecar()),
                            MembershipCodec.toCore(r.getMembership()),
                            r.getSettingsPosition())
                    : new ControlEvent.RouterExchanged(
                            call,
                            MembershipCodec.toCore(r.getRouter()),
                            MembershipCodec.toCore(r.getMembership()),
                            r.getSettingsPosition(),
                            new CrashReport(
                                    r.getCrashesSeen(), CrashCodec.toCore(r.getCrashesList())),
                            LoadCodec.toCore(r.getLoads()),
                            ContentionCodec.toCore(r.getContention()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Returns the reply as it is sent, without the list of control instances. */
    public static ExchangeReply reply(AnswerExchange answer) {
        ExchangeReply reply =
                Replies.exchange(
                                answer,
                                ExchangeRequest.getDefaultInstance(),
                                new SettingsMessages())
                        .setNextExchangeMillis(1000)
                        .build();
        reply.toByteArray();
        return reply;
    }
}
