package org.laurelweir.coordination;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.laurelweir.consensus.ConsensusEffect.RoleChanged;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.coordination.CommandResult.FenceResult;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.Backend;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.settings.SettingsDelta;

/**
 * Logs decisions about the state of a control instance: its role, the replicas, backend servers,
 * settings, claims and orders of operators.
 */
final class DecisionLogger {
    static final String PROGRAM = "control";

    private final String mName;

    DecisionLogger(String name) {
        mName = name;
    }

    void roleChanged(Instant now, RoleChanged e, Consumer<? super ControlEffect> effects) {
        String leader = e.leader() == null ? "none" : e.leader().name();
        String reason = mName + " is " + e.role() + " of term " + e.term();
        log(now, new Subject("", "", ""), List.of(), leader, reason, effects);
    }

    void replicasChanged(Instant now, Membership m, Consumer<? super ControlEffect> effects) {
        List<String> voters = m.voters().stream().map(ReplicaId::toString).toList();
        String reason =
                "replicas"
                        + list("; voting before: ", m.previousVoters())
                        + list("; learning: ", m.learners());
        log(now, new Subject("", "", ""), voters, "voters", reason, effects);
    }

    private static String list(String title, Collection<ReplicaId> ids) {
        String names = ids.stream().map(ReplicaId::toString).collect(Collectors.joining(" "));
        return names.isEmpty() ? "" : title + names;
    }

    void backendChanged(
            Instant now, Backend b, String reason, Consumer<? super ControlEffect> effects) {
        effects.accept(
                new ControlEffect.LogDecision(
                        Decision.builder(now, PROGRAM)
                                .service(b.service())
                                .candidates(List.of(b.ref().id()))
                                .choice(b.state().name(), reason)
                                .version(b.version())
                                .build()));
    }

    /** Logs that a peer reports a backend server that takes no new requests. */
    void peerReportedBackend(
            Instant now, Backend b, String reason, Consumer<? super ControlEffect> effects) {
        if (b.state() != Backend.State.SERVING) {
            backendChanged(now, b, reason, effects);
        }
    }

    /**
     * Logs an announcement that is ignored, for example because it is late or comes from another
     * sender than the backend server.
     */
    void announcementIgnored(
            Instant now, Backend b, String reason, Consumer<? super ControlEffect> effects) {
        List<String> candidates = List.of(b.ref().toString(), b.address());
        Subject subject = new Subject("", "", b.service());
        String reasonText = "announcement of " + b.state() + " " + reason;
        log(now, subject, candidates, "passed over", reasonText, effects);
    }

    void applied(Instant now, Command c, CommandResult r, Consumer<? super ControlEffect> out) {
        if (c instanceof Command.Claim claim) {
            claimed(now, claim, (ClaimResult) r, out);
        } else if (c instanceof Command.ChangeSettings s) {
            List<String> paths = s.changes().stream().map(Command.NodeChange::path).toList();
            String reason = "settings changed by " + s.author();
            log(now, new Subject(s.changeId(), "", ""), paths, r.code().name(), reason, out);
        } else if (c instanceof Command.ReplaceSettings s) {
            List<String> revision = List.of("revision " + s.revision());
            String reason = "tree replaced by " + s.author();
            log(now, new Subject("", "", ""), revision, r.code().name(), reason, out);
        } else if (c instanceof Command.Drain d) {
            String order = d.drain() ? "drain" : "undrain";
            List<String> backend = List.of(d.backend());
            String reason = "ordered by " + d.author();
            log(now, new Subject("", "", ""), backend, order, reason, out);
        } else if (c instanceof Command.DrainDataCentre d) {
            String order = d.drain() ? "drain data centre" : "undrain data centre";
            List<String> name = List.of(d.dataCentre());
            log(now, new Subject("", "", ""), name, order, "ordered by " + d.author(), out);
        } else if (c instanceof Command.RecordDeparture d) {
            List<String> server = List.of(d.server().toString());
            log(now, new Subject("", "", ""), server, d.state().name(), "recorded in the log", out);
        } else if (c instanceof Command.IssueFence f) {
            String fence = Long.toString(((FenceResult) r).fence());
            List<String> backend = List.of(f.backend());
            log(now, new Subject("", "", ""), backend, fence, "fencing token issued", out);
        }
    }

    /** Logs that a reader gets the whole settings tree, such as a router that has just started. */
    void fullTreeSent(
            Instant now, String reader, SettingsDelta delta, Consumer<? super ControlEffect> out) {
        List<String> position = List.of("position " + delta.position());
        String reason = "whole tree told, " + delta.nodes().size() + " nodes";
        log(now, new Subject("", "", ""), position, reader, reason, out);
    }

    void quarantineReleased(
            Instant now, SuspectKey key, String author, Consumer<? super ControlEffect> out) {
        List<String> fingerprint = List.of(key.idText());
        Subject subject = new Subject("", key.account(), "");
        log(now, subject, fingerprint, "release", "ordered by " + author, out);
    }

    private void claimed(
            Instant now, Command.Claim c, ClaimResult r, Consumer<? super ControlEffect> out) {
        Subject subject = new Subject(c.attempt().requestName(), c.account(), c.service());
        String holder = r.holder() == null ? r.code().name() : r.holder().toString();
        log(now, subject, List.of(c.attempt().toString()), holder, reason(c, r), out);
    }

    private static String reason(Command.Claim c, ClaimResult r) {
        if (c.attempt().equals(r.holder())) {
            return c.replaces() == null ? "claim granted" : "claim taken over";
        }
        if (r.holder() == null) {
            return "claim refused";
        }
        return r.settled() ? "claim settled: " + r.settledCode() : "claim held by another";
    }

    private void log(
            Instant now,
            Subject subject,
            List<String> candidates,
            String choice,
            String reason,
            Consumer<? super ControlEffect> effects) {
        effects.accept(
                new ControlEffect.LogDecision(
                        Decision.builder(now, PROGRAM)
                                .request(subject.request())
                                .account(subject.account())
                                .service(subject.service())
                                .candidates(candidates)
                                .choice(choice, reason)
                                .build()));
    }

    private record Subject(String request, String account, String service) {}
}
