package org.laurelweir.settings;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;
import org.laurelweir.coordination.Command.NodeChange;
import org.laurelweir.lib.Sha256;

/** Computes a digest of a change, so that two changes can be compared without storing them. */
final class ChangeDigest {
    private final MessageDigest mDigest = Sha256.newDigest();

    private ChangeDigest() {}

    static String of(List<NodeChange> changes) {
        ChangeDigest d = new ChangeDigest();
        d.put(changes.size());
        changes.forEach(d::put);
        return HexFormat.of().formatHex(d.mDigest.digest());
    }

    private void put(NodeChange c) {
        put(c.path());
        put(c.expectedVersion());
        put(c.set().size());
        // Sorted, since a map's iteration order may differ between replicas.
        new TreeMap<>(c.set())
                .forEach(
                        (key, text) -> {
                            put(key);
                            put(text);
                        });
        put(c.remove().size());
        c.remove().stream().sorted().forEach(this::put);
        put(c.delete() ? 1 : 0);
    }

    private void put(long number) {
        mDigest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, number));
    }

    private void put(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        put(bytes.length);
        mDigest.update(bytes);
    }
}
