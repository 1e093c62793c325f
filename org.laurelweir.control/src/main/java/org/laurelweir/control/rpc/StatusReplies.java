package org.laurelweir.control.rpc;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.BackendServerStatus;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEffect.AnswerPeerUpdate;
import org.laurelweir.coordination.ControlEffect.AnswerStatus;
import org.laurelweir.coordination.ControlEvent.PeerUpdateReceived;
import org.laurelweir.coordination.ControlInstanceStatus;
import org.laurelweir.coordination.FleetStatus;
import org.laurelweir.coordination.LossTolerance;
import org.laurelweir.coordination.RouterInstanceStatus;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.membership.ServiceSum;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.DrainCodec;
import org.laurelweir.wire.LossToleranceCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.v1.BackendStatus;
import org.laurelweir.wire.v1.ControlStatus;
import org.laurelweir.wire.v1.RouterStatus;
import org.laurelweir.wire.v1.ShareMembershipReply;
import org.laurelweir.wire.v1.StatusReply;

/** Converts the status of the fleet, for operators, and updates between control instances. */
final class StatusReplies {
    private StatusReplies() {}

    static StatusReply status(Answer answer) {
        FleetStatus s = ((AnswerStatus) answer).status();
        StatusReply.Builder reply =
                StatusReply.newBuilder().setSettingsPosition(s.settingsPosition());
        s.controls().forEach(c -> reply.addControls(toWire(c)));
        s.backends().forEach(b -> reply.addBackends(toWire(b)));
        s.routers().forEach(r -> reply.addRouters(toWire(r)));
        s.loads().forEach(l -> reply.addLoads(MembershipCodec.toWire(l)));
        s.drainedDataCentres().forEach(d -> reply.addDrainedDataCentres(DrainCodec.toWire(d)));
        reply.addAllQuarantined(CrashCodec.toWire(s.quarantined()));
        return reply.build();
    }

    static ShareMembershipReply peerUpdate(Answer answer) {
        AnswerPeerUpdate a = (AnswerPeerUpdate) answer;
        ShareMembershipReply.Builder reply =
                ShareMembershipReply.newBuilder()
                        .setCursor(MembershipCodec.toWire(a.update().cursor()))
                        .setStatus(toWire(a.status()));
        a.update().announcements().forEach(n -> reply.addAnnouncements(MembershipCodec.toWire(n)));
        a.update().sums().forEach(s -> reply.addSums(toWire(s)));
        reply.setCrashesVersion(a.crashes().version());
        reply.addAllCrashes(CrashCodec.toWire(a.crashes().records()));
        a.routers().forEach(r -> reply.addRouters(toWire(r)));
        return reply.build();
    }

    static PeerUpdateReceived toCore(String peer, ShareMembershipReply m) {
        List<ServiceSum> sums = m.getSumsList().stream().map(StatusReplies::toCore).toList();
        return new PeerUpdateReceived(
                peer,
                new PeerUpdate(
                        MembershipCodec.toCore(m.getCursor()),
                        m.getAnnouncementsList().stream().map(MembershipCodec::toCore).toList(),
                        sums),
                new CrashDelta(m.getCrashesVersion(), CrashCodec.toCore(m.getCrashesList())),
                m.getRoutersList().stream().map(StatusReplies::toCore).toList(),
                toCore(m.getStatus()));
    }

    private static BackendStatus toWire(BackendServerStatus b) {
        BackendStatus.Builder status =
                BackendStatus.newBuilder()
                        .setBackend(MembershipCodec.toWire(b.backend()))
                        .setDrainOrdered(b.drainOrdered());
        if (b.report() != null) {
            status.setRunningWork(b.report().runningWork())
                    .setRunning(b.report().running())
                    .setWaiting(b.report().waiting());
        }
        return status.build();
    }

    private static org.laurelweir.wire.v1.ServiceSum toWire(ServiceSum s) {
        return org.laurelweir.wire.v1.ServiceSum.newBuilder()
                .setService(s.service())
                .setWork(s.work())
                .setBackends(s.backends())
                .setWeight(s.weight())
                .build();
    }

    private static ServiceSum toCore(org.laurelweir.wire.v1.ServiceSum m) {
        return new ServiceSum(m.getService(), m.getWork(), m.getBackends(), m.getWeight());
    }

    private static RouterStatus toWire(RouterInstanceStatus r) {
        return RouterStatus.newBuilder()
                .setRouter(MembershipCodec.toWire(r.report()))
                .setSettingsPosition(r.settingsPosition())
                .setHeardMillis(r.lastExchange().toEpochMilli())
                .build();
    }

    private static RouterInstanceStatus toCore(RouterStatus m) {
        return new RouterInstanceStatus(
                MembershipCodec.toCore(m.getRouter()),
                m.getSettingsPosition(),
                Instant.ofEpochMilli(m.getHeardMillis()));
    }

    private static ControlStatus toWire(ControlInstanceStatus c) {
        ControlStatus.Builder status =
                ControlStatus.newBuilder()
                        .setName(c.replica().name())
                        .setAddress(c.address())
                        .setLeader(c.leader())
                        .setTerm(c.term())
                        .setApplied(c.commitIndex())
                        .setCommitted(c.commitIndex())
                        .setPossiblyStale(c.possiblyStale())
                        .setReplica(ReplicaCodec.toWire(c.replica()));
        c.members().allVoters().forEach(v -> status.addVoters(ReplicaCodec.toWire(v)));
        c.members().learners().forEach(l -> status.addLearners(ReplicaCodec.toWire(l)));
        c.lossTolerance().map(LossToleranceCodec::toWire).ifPresent(status::setLossTolerance);
        return status.build();
    }

    private static ControlInstanceStatus toCore(ControlStatus m) {
        Optional<LossTolerance> lossTolerance =
                m.hasLossTolerance()
                        ? Optional.of(LossToleranceCodec.toCore(m.getLossTolerance()))
                        : Optional.empty();
        return new ControlInstanceStatus(
                ReplicaCodec.toCore(m.getReplica()),
                m.getAddress(),
                m.getLeader(),
                m.getTerm(),
                m.getCommitted(),
                m.getPossiblyStale(),
                new Membership(replicas(m.getVotersList()), replicas(m.getLearnersList())),
                lossTolerance);
    }

    private static TreeSet<ReplicaId> replicas(List<org.laurelweir.wire.v1.ReplicaId> ids) {
        TreeSet<ReplicaId> replicas = new TreeSet<>();
        ids.forEach(id -> replicas.add(ReplicaCodec.toCore(id)));
        return replicas;
    }
}
