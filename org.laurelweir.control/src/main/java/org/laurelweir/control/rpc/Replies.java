package org.laurelweir.control.rpc;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.coordination.CommandResult;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.coordination.CommandResult.FenceResult;
import org.laurelweir.coordination.CommandResult.SettingsResult;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEffect.AnswerCommand;
import org.laurelweir.coordination.ControlEffect.AnswerError;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEffect.AnswerHistory;
import org.laurelweir.coordination.ControlEffect.AnswerMembership;
import org.laurelweir.coordination.ControlEffect.AnswerSettings;
import org.laurelweir.coordination.ControlEffect.AnswerStreamOrigin;
import org.laurelweir.coordination.ControlEffect.AnswerStreamRecorded;
import org.laurelweir.settings.NodeFault;
import org.laurelweir.settings.SettingsAnswer;
import org.laurelweir.wire.ContentionCodec;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.PlacementRulesCodec;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.StreamCodec;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ClaimReply;
import org.laurelweir.wire.v1.DrainReply;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;
import org.laurelweir.wire.v1.FindStreamReply;
import org.laurelweir.wire.v1.HistoryReply;
import org.laurelweir.wire.v1.IssueFenceReply;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.RecordStreamReply;
import org.laurelweir.wire.v1.ReleaseReply;
import org.laurelweir.wire.v1.SettleClaimReply;

/** Converts the reducer's answers into gRPC replies. */
final class Replies {
    private Replies() {}

    static ExchangeReply.Builder exchange(
            Answer answer, ExchangeRequest request, SettingsMessages settings) {
        AnswerExchange a = (AnswerExchange) answer;
        ExchangeReply.Builder reply =
                ExchangeReply.newBuilder()
                        .setMembership(MembershipCodec.toWire(a.membership()))
                        .setSettings(settings.messageFor(a.settings(), request))
                        .setPossiblyStale(a.possiblyStale())
                        .setRouters(a.routerCount())
                        .setCrashesVersion(a.crashes().version())
                        .addAllCrashes(CrashCodec.toWire(a.crashes().records()))
                        .setLoadDigest(LoadCodec.toWire(a.digest()));
        ContentionCodec.addTo(reply, a.contention());
        PlacementRulesCodec.addTo(reply, a.rules());
        a.loads().forEach(l -> reply.addLoads(MembershipCodec.toWire(l)));
        if (a.orders() != null) {
            reply.setDrain(a.orders().drain())
                    .setFence(a.orders().fence())
                    .setLeastSession(a.orders().minSession());
        }
        return reply;
    }

    static ChangeSettingsReply settingsChange(Answer answer) {
        ChangeSettingsReply.Builder reply = ChangeSettingsReply.newBuilder();
        if (answer instanceof AnswerError r) {
            return reply.setCode(r.code().number())
                    .setMessage(r.message())
                    .setLeader(r.leader())
                    .build();
        }
        SettingsAnswer a = ((SettingsResult) result(answer)).answer();
        return reply.setCode(a.code().number())
                .setMessage(a.code().name())
                .setPosition(a.position())
                .addAllNodes(SettingsCodec.nodesToWire(a.nodes()))
                .addAllFaults(a.faults().stream().map(NodeFault::toString).toList())
                .build();
    }

    static ClaimReply claim(Answer answer) {
        ClaimReply.Builder reply = ClaimReply.newBuilder();
        if (answer instanceof AnswerError r) {
            return reply.setCode(r.code().number())
                    .setMessage(r.message())
                    .setLeader(r.leader())
                    .build();
        }
        ClaimResult c = (ClaimResult) result(answer);
        reply.setCode(c.code().number())
                .setSettled(c.settled())
                .setSettledCode(c.settledCode().number());
        if (c.holder() != null) {
            reply.setHolder(IdCodec.toWire(c.holder())).setHolderTarget(IdCodec.toWire(c.target()));
        }
        return reply.build();
    }

    static SettleClaimReply settleClaim(Answer answer) {
        if (answer instanceof AnswerError r) {
            return SettleClaimReply.newBuilder()
                    .setCode(r.code().number())
                    .setLeader(r.leader())
                    .build();
        }
        return SettleClaimReply.newBuilder().setCode(result(answer).code().number()).build();
    }

    static DrainReply drain(Answer answer) {
        if (answer instanceof AnswerError r) {
            return DrainReply.newBuilder()
                    .setCode(r.code().number())
                    .setMessage(r.message())
                    .setLeader(r.leader())
                    .build();
        }
        return DrainReply.newBuilder().setCode(result(answer).code().number()).build();
    }

    static ReleaseReply release(Answer answer) {
        if (answer instanceof AnswerError r) {
            return ReleaseReply.newBuilder()
                    .setCode(r.code().number())
                    .setMessage(r.message())
                    .build();
        }
        return ReleaseReply.getDefaultInstance();
    }

    static IssueFenceReply issueFence(Answer answer) {
        if (answer instanceof AnswerError r) {
            return IssueFenceReply.newBuilder()
                    .setCode(r.code().number())
                    .setLeader(r.leader())
                    .build();
        }
        FenceResult f = (FenceResult) result(answer);
        return IssueFenceReply.newBuilder().setCode(f.code().number()).setFence(f.fence()).build();
    }

    static RecordStreamReply streamRecorded(Answer answer) {
        return StreamCodec.toWire(((AnswerStreamRecorded) answer).laterRun());
    }

    static FindStreamReply streamOrigin(Answer answer) {
        return StreamCodec.toWire(((AnswerStreamOrigin) answer).report());
    }

    static ReadSettingsReply settings(Answer answer) {
        if (answer instanceof AnswerError r) {
            return ReadSettingsReply.newBuilder()
                    .setCode(r.code().number())
                    .setMessage(r.message())
                    .setLeader(r.leader())
                    .build();
        }
        AnswerSettings a = (AnswerSettings) answer;
        return ReadSettingsReply.newBuilder()
                .setPosition(a.position())
                .addAllNodes(SettingsCodec.nodesToWire(a.nodes()))
                .build();
    }

    static HistoryReply history(Answer answer) {
        List<org.laurelweir.wire.v1.HistoryEntry> entries = new ArrayList<>();
        ((AnswerHistory) answer).entries().forEach(e -> entries.add(SettingsCodec.toWire(e)));
        return HistoryReply.newBuilder().addAllEntries(entries).build();
    }

    static ChangeMembersReply members(Answer answer) {
        ChangeMembersReply.Builder reply = ChangeMembersReply.newBuilder();
        if (answer instanceof AnswerError r) {
            return reply.setCode(r.code().number())
                    .setMessage(r.message())
                    .setLeader(r.leader())
                    .build();
        }
        AnswerMembership a = (AnswerMembership) answer;
        a.members().allVoters().forEach(v -> reply.addVoters(ReplicaCodec.toWire(v)));
        a.members().learners().forEach(l -> reply.addLearners(ReplicaCodec.toWire(l)));
        return reply.build();
    }

    private static CommandResult result(Answer answer) {
        return ((AnswerCommand) answer).result();
    }
}
