package org.laurelweir.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * One node of the settings tree.
 *
 * @param path the node's path
 * @param version the log position of the node's last change. It rises with each change and is never
 *     reused, even if the node is deleted and created again.
 * @param values the node's values as written in settings, by key, in no order; empty for a
 *     tombstone
 * @param deleted whether this is a tombstone, which marks a deleted node
 */
public record SettingsNode(
        NodePath path, long version, Map<String, String> values, boolean deleted) {
    /** The estimated size of a node without the characters of its path and values, in bytes. */
    static final int OVERHEAD_BYTES = 100;

    /** The estimated size of a value without its characters, in bytes; the key name is shared. */
    private static final int VALUE_OVERHEAD_BYTES = 50;

    /** Returns the node's estimated size in bytes. */
    long estimatedBytes() {
        return estimateBytes(path.toString(), values);
    }

    /** Returns the estimated size in bytes of a node with this path and these values. */
    static long estimateBytes(String path, Map<String, String> values) {
        long bytes = OVERHEAD_BYTES + path.length();
        for (String value : values.values()) {
            bytes += VALUE_OVERHEAD_BYTES + value.length();
        }
        return bytes;
    }

    /** Copies the values and shares their key names. */
    public SettingsNode {
        values = shareKeyNames(values);
    }

    /** Copies a map and shares its key names: thousands of nodes set the same few keys. */
    private static Map<String, String> shareKeyNames(Map<String, String> values) {
        Map<String, String> copy = new HashMap<>();
        values.forEach((name, value) -> copy.put(sharedKeyName(name), value));
        return Map.copyOf(copy);
    }

    private static String sharedKeyName(String name) {
        return SettingKeys.find(name).map(SettingKey::name).orElse(name);
    }

    /** Returns a node that is not deleted. */
    public static SettingsNode of(NodePath path, long version, Map<String, String> values) {
        return new SettingsNode(path, version, values, false);
    }

    /** Returns the mark of a deleted node. */
    public static SettingsNode tombstone(NodePath path, long version) {
        return new SettingsNode(path, version, Map.of(), true);
    }

    /**
     * Returns the parsed value of a key, or null if the node does not set it. A text that can't be
     * parsed counts as not set, since a newer control instance may accept formats that this program
     * does not know.
     */
    public <T> T value(SettingKey<T> key) {
        String text = values.get(key.name());
        if (text == null) {
            return null;
        }
        try {
            return key.parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
