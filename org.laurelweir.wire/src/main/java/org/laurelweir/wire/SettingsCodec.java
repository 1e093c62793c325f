package org.laurelweir.wire;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.coordination.Command;
import org.laurelweir.settings.HistoryEntry;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.TextPatch;
import org.laurelweir.settings.TreePatch;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.NodeValues;
import org.laurelweir.wire.v1.PatchSettings;
import org.laurelweir.wire.v1.ReplaceSettings;
import org.laurelweir.wire.v1.TextPiece;

/** Converts settings nodes, changes and deltas. */
public final class SettingsCodec {
    private SettingsCodec() {}

    /** Returns the message of a node. */
    public static org.laurelweir.wire.v1.SettingsNode toWire(SettingsNode n) {
        return org.laurelweir.wire.v1.SettingsNode.newBuilder()
                .setPath(n.path().toString())
                .setVersion(n.version())
                .putAllValues(n.values())
                .setDeleted(n.deleted())
                .build();
    }

    /**
     * Returns the node that a message holds.
     *
     * @throws IllegalArgumentException if the node's path is malformed
     */
    public static SettingsNode toCore(org.laurelweir.wire.v1.SettingsNode n) {
        return new SettingsNode(
                NodePath.parse(n.getPath()),
                n.getVersion(),
                new TreeMap<>(n.getValuesMap()),
                n.getDeleted());
    }

    /** Returns the messages of nodes, in the same order. */
    public static List<org.laurelweir.wire.v1.SettingsNode> nodesToWire(List<SettingsNode> nodes) {
        return nodes.stream().map(SettingsCodec::toWire).toList();
    }

    /** Returns the nodes that messages hold, in the same order. */
    public static List<SettingsNode> nodesToCore(List<org.laurelweir.wire.v1.SettingsNode> nodes) {
        return nodes.stream().map(SettingsCodec::toCore).toList();
    }

    /** Returns the message of a delta. */
    public static org.laurelweir.wire.v1.SettingsDelta toWire(SettingsDelta d) {
        return org.laurelweir.wire.v1.SettingsDelta.newBuilder()
                .setPosition(d.position())
                .setFull(d.full())
                .addAllNodes(nodesToWire(d.nodes()))
                .build();
    }

    /** Returns the message of a delta, with its nodes compressed. */
    public static org.laurelweir.wire.v1.SettingsDelta toPacked(SettingsDelta d) {
        return org.laurelweir.wire.v1.SettingsDelta.newBuilder()
                .setPosition(d.position())
                .setFull(d.full())
                .setPackedNodes(PackedNodes.pack(d.nodes()))
                .build();
    }

    /**
     * Returns the delta that a message holds.
     *
     * @throws org.laurelweir.errors.LaurelweirException INTERNAL if its packed nodes can't be read
     */
    public static SettingsDelta toCore(org.laurelweir.wire.v1.SettingsDelta d) {
        List<SettingsNode> nodes =
                d.getPackedNodes().isEmpty()
                        ? nodesToCore(d.getNodesList())
                        : PackedNodes.unpack(d.getPackedNodes());
        return new SettingsDelta(d.getPosition(), d.getFull(), nodes);
    }

    /** Returns the message of a change of one node. */
    public static org.laurelweir.wire.v1.NodeChange toWire(Command.NodeChange c) {
        return org.laurelweir.wire.v1.NodeChange.newBuilder()
                .setPath(c.path())
                .setExpectedVersion(c.expectedVersion())
                .putAllSet(c.set())
                .addAllRemove(c.remove())
                .setDelete(c.delete())
                .build();
    }

    /** Returns the change of one node that a message holds. */
    public static Command.NodeChange toCore(org.laurelweir.wire.v1.NodeChange c) {
        return new Command.NodeChange(
                c.getPath(),
                c.getExpectedVersion(),
                new TreeMap<>(c.getSetMap()),
                List.copyOf(c.getRemoveList()),
                c.getDelete());
    }

    /** Returns the messages of changes, in the same order. */
    public static List<org.laurelweir.wire.v1.NodeChange> changesToWire(
            List<Command.NodeChange> changes) {
        return changes.stream().map(SettingsCodec::toWire).toList();
    }

    /** Returns the changes that messages hold, in the same order. */
    public static List<Command.NodeChange> changesToCore(
            List<org.laurelweir.wire.v1.NodeChange> changes) {
        return changes.stream().map(SettingsCodec::toCore).toList();
    }

    /** Returns the message of a settings change. The message holds no time: the leader sets it. */
    public static ChangeSettingsRequest toWire(Command.ChangeSettings c) {
        return ChangeSettingsRequest.newBuilder()
                .setChangeId(c.changeId())
                .setAuthor(c.author())
                .addAllChanges(changesToWire(c.changes()))
                .build();
    }

    /**
     * Returns the message of a whole settings tree. The message holds no time: the leader sets it.
     */
    static ReplaceSettings toWire(Command.ReplaceSettings c) {
        return ReplaceSettings.newBuilder()
                .setRevision(c.revision())
                .setAuthor(c.author())
                .setSource(c.source())
                .addAllNodes(valuesToWire(c.nodes()))
                .build();
    }

    private static List<NodeValues> valuesToWire(Map<String, Map<String, String>> nodes) {
        List<NodeValues> messages = new ArrayList<>();
        new TreeMap<>(nodes)
                .forEach(
                        (path, values) ->
                                messages.add(
                                        NodeValues.newBuilder()
                                                .setPath(path)
                                                .putAllValues(values)
                                                .build()));
        return messages;
    }

    private static Map<String, Map<String, String>> valuesToCore(List<NodeValues> messages) {
        Map<String, Map<String, String>> nodes = new TreeMap<>();
        messages.forEach(n -> nodes.put(n.getPath(), new TreeMap<>(n.getValuesMap())));
        return nodes;
    }

    /** Returns the whole settings tree that a message holds. */
    static Command.ReplaceSettings toCore(ReplaceSettings m, Instant at) {
        return new Command.ReplaceSettings(
                at, m.getRevision(), m.getAuthor(), valuesToCore(m.getNodesList()), m.getSource());
    }

    /**
     * Returns the message of a settings tree as its difference from the tree at an earlier
     * position.
     */
    static PatchSettings toWire(Command.PatchSettings c) {
        PatchSettings.Builder message =
                PatchSettings.newBuilder()
                        .setBase(c.base())
                        .setRevision(c.revision())
                        .setAuthor(c.author())
                        .addAllChanged(valuesToWire(c.treePatch().changed()))
                        .addAllRemoved(c.treePatch().removed());
        for (TextPatch.Piece p : c.sourcePatch().pieces()) {
            message.addSource(
                    TextPiece.newBuilder()
                            .setOffset(p.offset())
                            .setLength(p.length())
                            .setLiteral(p.literal()));
        }
        return message.build();
    }

    /** Returns the difference of a settings tree that a message holds. */
    static Command.PatchSettings toCore(PatchSettings m, Instant at) {
        List<TextPatch.Piece> pieces =
                m.getSourceList().stream()
                        .map(p -> new TextPatch.Piece(p.getOffset(), p.getLength(), p.getLiteral()))
                        .toList();
        return new Command.PatchSettings(
                at,
                m.getBase(),
                m.getRevision(),
                m.getAuthor(),
                new TreePatch(valuesToCore(m.getChangedList()), m.getRemovedList()),
                new TextPatch(pieces));
    }

    /** Returns the message of an accepted change. */
    public static org.laurelweir.wire.v1.HistoryEntry toWire(HistoryEntry e) {
        return org.laurelweir.wire.v1.HistoryEntry.newBuilder()
                .setPosition(e.position())
                .setChangeId(e.changeId())
                .setAuthor(e.author())
                .setAtMillis(e.timestamp().toEpochMilli())
                .addAllChanges(changesToWire(e.changes()))
                .build();
    }
}
