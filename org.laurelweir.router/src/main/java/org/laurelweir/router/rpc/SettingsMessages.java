package org.laurelweir.router.rpc;

import java.util.List;
import java.util.TreeMap;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;

/** Reads settings out of messages. */
final class SettingsMessages {
    private SettingsMessages() {}

    static SettingsDelta toCore(org.laurelweir.wire.v1.SettingsDelta d) {
        List<SettingsNode> nodes = d.getNodesList().stream().map(SettingsMessages::toCore).toList();
        return new SettingsDelta(d.getPosition(), d.getFull(), nodes);
    }

    private static SettingsNode toCore(org.laurelweir.wire.v1.SettingsNode n) {
        return new SettingsNode(
                NodePath.parse(n.getPath()),
                n.getVersion(),
                new TreeMap<>(n.getValuesMap()),
                n.getDeleted());
    }
}
