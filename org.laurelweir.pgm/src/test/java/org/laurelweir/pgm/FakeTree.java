package org.laurelweir.pgm;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.HistoryEntry;
import org.laurelweir.wire.v1.HistoryReply;
import org.laurelweir.wire.v1.NodeChange;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.SettingsNode;

/** A settings tree that checks expected versions and answers a repeated change id as before. */
final class FakeTree {
    private final Map<String, SettingsNode> mNodes = new TreeMap<>();
    private final Map<String, ChangeSettingsReply> mAnswers = new HashMap<>();
    private final List<HistoryEntry> mHistory = new ArrayList<>();
    private long mPosition;

    void put(String path, long version, Map<String, String> values) {
        mPosition = version;
        mNodes.put(path, node(path, values));
    }

    SettingsNode node(String path) {
        return mNodes.get(path);
    }

    ReadSettingsReply read(ReadSettingsRequest request) {
        ReadSettingsReply.Builder reply = ReadSettingsReply.newBuilder().setPosition(mPosition);
        mNodes.values().stream()
                .filter(n -> request.getPath().isEmpty() || n.getPath().equals(request.getPath()))
                .forEach(reply::addNodes);
        return reply.build();
    }

    HistoryReply history() {
        return HistoryReply.newBuilder().addAllEntries(mHistory).build();
    }

    private SettingsNode node(String path, Map<String, String> values) {
        return SettingsNode.newBuilder()
                .setPath(path)
                .setVersion(mPosition)
                .putAllValues(values)
                .build();
    }

    ChangeSettingsReply change(ChangeSettingsRequest request) {
        return mAnswers.computeIfAbsent(request.getChangeId(), id -> accept(request));
    }

    private ChangeSettingsReply accept(ChangeSettingsRequest request) {
        ChangeSettingsReply.Builder reply = ChangeSettingsReply.newBuilder();
        for (NodeChange c : request.getChangesList()) {
            SettingsNode present = mNodes.get(c.getPath());
            if ((present == null ? 0 : present.getVersion()) != c.getExpectedVersion()) {
                return reply.setCode(ResultCode.SETTINGS_CONFLICT.number())
                        .addNodes(present)
                        .build();
            }
        }
        mPosition++;
        request.getChangesList().forEach(this::change);
        mHistory.add(
                HistoryEntry.newBuilder()
                        .setPosition(mPosition)
                        .setChangeId(request.getChangeId())
                        .setAuthor(request.getAuthor())
                        .addAllChanges(request.getChangesList())
                        .build());
        return reply.setPosition(mPosition).build();
    }

    private void change(NodeChange c) {
        Map<String, String> values = new TreeMap<>();
        if (mNodes.containsKey(c.getPath())) {
            values.putAll(mNodes.get(c.getPath()).getValuesMap());
        }
        values.putAll(c.getSetMap());
        values.keySet().removeAll(c.getRemoveList());
        if (c.getDelete()) {
            mNodes.remove(c.getPath());
        } else {
            mNodes.put(c.getPath(), node(c.getPath(), values));
        }
    }
}
