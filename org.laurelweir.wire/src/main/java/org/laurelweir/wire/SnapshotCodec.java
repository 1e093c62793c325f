package org.laurelweir.wire;

import java.time.Instant;
import java.util.Map;
import org.laurelweir.coordination.Claim;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.coordination.DrainOrder;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.HistoryEntry;
import org.laurelweir.settings.NodeFault;
import org.laurelweir.settings.RecordedAnswer;
import org.laurelweir.settings.SettingsAnswer;
import org.laurelweir.settings.SettingsState;
import org.laurelweir.wire.v1.ClaimRecord;
import org.laurelweir.wire.v1.DrainRecord;
import org.laurelweir.wire.v1.SettingsAnswerRecord;
import org.laurelweir.wire.v1.SettingsFault;
import org.laurelweir.wire.v1.SettingsHistoryRecord;
import org.laurelweir.wire.v1.SettingsSnapshot;
import org.laurelweir.wire.v1.StateSnapshot;

/** Converts snapshots of control's state machine. */
final class SnapshotCodec {
    private SnapshotCodec() {}

    static StateSnapshot toWire(ControlState.Snapshot s) {
        StateSnapshot.Builder message =
                StateSnapshot.newBuilder()
                        .setAtMillis(s.time().toEpochMilli())
                        .setSettings(toWire(s.settings()))
                        .putAllFences(s.fences());
        s.claims().forEach(c -> message.addClaims(toWire(c)));
        s.drains().forEach(d -> message.addDrains(toWire(d)));
        message.setDataCentreDrainsPosition(s.dataCentreDrainsPosition());
        s.dataCentreDrains().forEach(d -> message.addDataCentreDrains(DrainCodec.toWire(d)));
        s.departures().forEach(d -> message.addDepartures(DepartureCodec.toWire(d)));
        return message.build();
    }

    static ControlState.Snapshot toCore(StateSnapshot m) {
        return new ControlState.Snapshot(
                Instant.ofEpochMilli(m.getAtMillis()),
                toCore(m.getSettings()),
                m.getClaimsList().stream().map(SnapshotCodec::toCore).toList(),
                Map.copyOf(m.getFencesMap()),
                m.getDrainsList().stream().map(SnapshotCodec::toCore).toList(),
                m.getDataCentreDrainsPosition(),
                m.getDataCentreDrainsList().stream().map(DrainCodec::toCore).toList(),
                m.getDeparturesList().stream().map(DepartureCodec::toCore).toList());
    }

    private static ClaimRecord toWire(Claim c) {
        return ClaimRecord.newBuilder()
                .setAccount(c.account())
                .setKey(c.key())
                .setFingerprint(c.fingerprint())
                .setHolder(IdCodec.toWire(c.holder()))
                .setTarget(IdCodec.toWire(c.target()))
                .setExpiresMillis(c.expires().toEpochMilli())
                .setSettled(c.settled())
                .setSettledCode(c.settled() ? c.settledCode().number() : 0)
                .build();
    }

    private static Claim toCore(ClaimRecord m) {
        return new Claim(
                m.getAccount(),
                m.getKey(),
                m.getFingerprint(),
                IdCodec.toCore(m.getHolder()),
                IdCodec.toCore(m.getTarget()),
                Instant.ofEpochMilli(m.getExpiresMillis()),
                m.getSettled() ? ResultCode.of(m.getSettledCode()) : null);
    }

    private static DrainRecord toWire(DrainOrder d) {
        return DrainRecord.newBuilder()
                .setBackend(d.backend())
                .setAuthor(d.author())
                .setAtMillis(d.orderedAt().toEpochMilli())
                .build();
    }

    private static DrainOrder toCore(DrainRecord m) {
        Instant at = Instant.ofEpochMilli(m.getAtMillis());
        return new DrainOrder(m.getBackend(), m.getAuthor(), at);
    }

    private static SettingsSnapshot toWire(SettingsState s) {
        SettingsSnapshot.Builder message =
                SettingsSnapshot.newBuilder()
                        .setPosition(s.position())
                        .addAllNodes(SettingsCodec.nodesToWire(s.nodes()))
                        .setForgotten(s.lastEvictedPosition())
                        .setRevision(s.revision())
                        .setSource(s.source());
        s.history().forEach(e -> message.addHistory(toWire(e)));
        s.answers().forEach(a -> message.addAnswers(toWire(a)));
        return message.build();
    }

    private static SettingsState toCore(SettingsSnapshot m) {
        return new SettingsState(
                m.getPosition(),
                SettingsCodec.nodesToCore(m.getNodesList()),
                m.getForgotten(),
                m.getHistoryList().stream().map(SnapshotCodec::toCore).toList(),
                m.getAnswersList().stream().map(SnapshotCodec::toCore).toList(),
                m.getRevision(),
                m.getSource());
    }

    private static SettingsHistoryRecord toWire(HistoryEntry e) {
        return SettingsHistoryRecord.newBuilder()
                .setPosition(e.position())
                .setAtMillis(e.timestamp().toEpochMilli())
                .setChangeId(e.changeId())
                .setAuthor(e.author())
                .addAllChanges(SettingsCodec.changesToWire(e.changes()))
                .addAllBefore(SettingsCodec.nodesToWire(e.before()))
                .build();
    }

    private static HistoryEntry toCore(SettingsHistoryRecord m) {
        return new HistoryEntry(
                m.getPosition(),
                Instant.ofEpochMilli(m.getAtMillis()),
                m.getChangeId(),
                m.getAuthor(),
                SettingsCodec.changesToCore(m.getChangesList()),
                SettingsCodec.nodesToCore(m.getBeforeList()));
    }

    private static SettingsAnswerRecord toWire(RecordedAnswer a) {
        SettingsAnswerRecord.Builder message =
                SettingsAnswerRecord.newBuilder()
                        .setChangeId(a.changeId())
                        .setAtMillis(a.timestamp().toEpochMilli())
                        .setDigest(a.digest())
                        .setCode(a.answer().code().number())
                        .setPosition(a.answer().position())
                        .addAllNodes(SettingsCodec.nodesToWire(a.answer().nodes()));
        a.answer().faults().forEach(f -> message.addFaults(toWire(f)));
        return message.build();
    }

    private static RecordedAnswer toCore(SettingsAnswerRecord m) {
        SettingsAnswer answer =
                new SettingsAnswer(
                        ResultCode.of(m.getCode()),
                        m.getPosition(),
                        SettingsCodec.nodesToCore(m.getNodesList()),
                        m.getFaultsList().stream().map(SnapshotCodec::toCore).toList());
        return new RecordedAnswer(
                m.getChangeId(), Instant.ofEpochMilli(m.getAtMillis()), m.getDigest(), answer);
    }

    private static SettingsFault toWire(NodeFault f) {
        return SettingsFault.newBuilder()
                .setPath(f.path())
                .setKey(f.key())
                .setProblem(f.problem())
                .setAllowed(f.allowed())
                .build();
    }

    private static NodeFault toCore(SettingsFault m) {
        return new NodeFault(m.getPath(), m.getKey(), m.getProblem(), m.getAllowed());
    }
}
