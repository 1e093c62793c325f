package org.laurelweir.wire;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.wire.v1.PackedNode;
import org.laurelweir.wire.v1.SettingsNodes;

/**
 * Converts settings nodes to and from compressed bytes, which are packed once and sent to many
 * receivers.
 */
final class PackedNodes {
    private PackedNodes() {}

    static ByteString pack(List<SettingsNode> nodes) {
        ByteString.Output packed = ByteString.newOutput();
        // The fastest level. Nodes repeat their values, so a higher level saves few bytes.
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream out = new DeflaterOutputStream(packed, deflater)) {
            toWire(nodes).writeTo(out);
        } catch (IOException e) {
            throw new LaurelweirException(
                    ResultCode.INTERNAL, "settings nodes cannot be packed", e);
        } finally {
            deflater.end();
        }
        return packed.toByteString();
    }

    private static SettingsNodes toWire(List<SettingsNode> nodes) {
        SettingsNodes.Builder all = SettingsNodes.newBuilder();
        Map<String, Integer> keys = new HashMap<>();
        for (SettingsNode n : nodes) {
            PackedNode.Builder node =
                    PackedNode.newBuilder()
                            .setPath(n.path().toString())
                            .setVersion(n.version())
                            .setDeleted(n.deleted());
            n.values()
                    .forEach(
                            (key, value) -> {
                                node.addKeys(keys.computeIfAbsent(key, k -> keys.size()));
                                node.addValues(value);
                            });
            all.addNodes(node);
        }
        String[] names = new String[keys.size()];
        keys.forEach((name, index) -> names[index] = name);
        return all.addAllKeys(List.of(names)).build();
    }

    static List<SettingsNode> unpack(ByteString packed) {
        try (InflaterInputStream in = new InflaterInputStream(packed.newInput())) {
            SettingsNodes all = SettingsNodes.parseFrom(in);
            return all.getNodesList().stream().map(n -> toCore(n, all)).toList();
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new LaurelweirException(
                    ResultCode.INTERNAL, "packed settings nodes cannot be read", e);
        }
    }

    private static SettingsNode toCore(PackedNode n, SettingsNodes all) {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < n.getValuesCount(); i++) {
            values.put(all.getKeys(n.getKeys(i)), n.getValues(i));
        }
        return new SettingsNode(
                NodePath.parse(n.getPath()), n.getVersion(), values, n.getDeleted());
    }
}
