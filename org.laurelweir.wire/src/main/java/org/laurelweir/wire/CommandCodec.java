package org.laurelweir.wire;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.coordination.LogCodec;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.LogCommand;
import org.laurelweir.wire.v1.StateSnapshot;

/** Encodes commands and snapshots of the replicated log as protocol buffers. */
public final class CommandCodec implements LogCodec {
    @Override
    public byte[] encode(Command c) {
        LogCommand.Builder message =
                LogCommand.newBuilder().setAtMillis(c.timestamp().toEpochMilli());
        if (c instanceof Command.ChangeSettings s) {
            message.setChangeSettings(SettingsCodec.toWire(s));
        } else if (c instanceof Command.ReplaceSettings s) {
            message.setReplaceSettings(SettingsCodec.toWire(s));
        } else if (c instanceof Command.PatchSettings s) {
            message.setPatchSettings(SettingsCodec.toWire(s));
        } else if (c instanceof Command.Claim s) {
            message.setClaim(RequestCodec.toWire(s));
        } else if (c instanceof Command.SettleClaim s) {
            message.setSettleClaim(RequestCodec.toWire(s));
        } else if (c instanceof Command.Drain s) {
            message.setDrain(RequestCodec.toWire(s));
        } else if (c instanceof Command.DrainDataCentre s) {
            message.setDrainDataCentre(RequestCodec.toWire(s));
        } else if (c instanceof Command.RecordDeparture s) {
            message.setRecordDeparture(DepartureCodec.toWire(s));
        } else if (c instanceof Command.IssueFence s) {
            message.setIssueFence(RequestCodec.toWire(s));
        }
        return serialize(message.build());
    }

    @Override
    public Command decodeCommand(byte[] bytes) {
        try {
            return decode(LogCommand.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new LaurelweirException(
                    ResultCode.LOG_CORRUPT, "the log entry cannot be decoded as a command", e);
        }
    }

    private static Command decode(LogCommand m) {
        Instant timestamp = Instant.ofEpochMilli(m.getAtMillis());
        return switch (m.getBodyCase()) {
            case CHANGE_SETTINGS -> RequestCodec.toCore(m.getChangeSettings(), timestamp);
            case REPLACE_SETTINGS -> SettingsCodec.toCore(m.getReplaceSettings(), timestamp);
            case PATCH_SETTINGS -> SettingsCodec.toCore(m.getPatchSettings(), timestamp);
            case CLAIM -> RequestCodec.toCore(m.getClaim(), timestamp);
            case SETTLE_CLAIM -> RequestCodec.toCore(m.getSettleClaim(), timestamp);
            case DRAIN -> RequestCodec.toCore(m.getDrain(), timestamp);
            case DRAIN_DATA_CENTRE -> RequestCodec.toCore(m.getDrainDataCentre(), timestamp);
            case RECORD_DEPARTURE -> DepartureCodec.toCore(m.getRecordDeparture(), timestamp);
            case ISSUE_FENCE -> RequestCodec.toCore(m.getIssueFence(), timestamp);
            // If this replica skipped the entry, its state would differ from the other replicas'
            // state.
            case BODY_NOT_SET ->
                    throw new LaurelweirException(
                            ResultCode.LOG_CORRUPT,
                            "the log entry holds a command that this version does not know");
        };
    }

    @Override
    public byte[] encode(ControlState.Snapshot snapshot) {
        return serialize(SnapshotCodec.toWire(snapshot));
    }

    @Override
    public ControlState.Snapshot decodeSnapshot(byte[] bytes) {
        try {
            return SnapshotCodec.toCore(StateSnapshot.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new LaurelweirException(
                    ResultCode.SNAPSHOT_CORRUPT, "the snapshot cannot be decoded", e);
        }
    }

    /**
     * Serializes map fields in a fixed order, so that equal messages have equal bytes. By default,
     * the order of map fields is undefined.
     */
    private static byte[] serialize(MessageLite message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(message.getSerializedSize());
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        out.useDeterministicSerialization();
        try {
            message.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
