package org.laurelweir.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * One node of the settings tree.
 *
 * @param path where it stands
 * @param version the log position of the change that last touched it. It rises with each change and
 *     never comes again, not even when the node is deleted and made anew.
 * @param values what the node sets, as written, by key, in no order; empty for a deleted node
 * @param deleted whether this tells that the node is gone
 */
public record SettingsNode(
        NodePath path, long version, Map<String, String> values, boolean deleted) {
    /** What a node takes besides the characters of its path and values, about. */
    static final int FIXED_BYTES = 100;

    /** What a value takes besides its characters, about; its key's name is shared. */
    private static final int VALUE_BYTES = 50;

    /** Returns what the node takes, about. */
    long bytes() {
        return bytesOf(path.toString(), values);
    }

    /** Returns what values at a path take, about. */
    static long bytesOf(String path, Map<String, String> values) {
        long bytes = FIXED_BYTES + path.length();
        for (String value : values.values()) {
            bytes += VALUE_BYTES + value.length();
        }
        return bytes;
    }

    /** Copies the values. */
    public SettingsNode {
        values = compact(values);
    }

    /** A tree has thousands of nodes that set the same few keys: they share the keys' names. */
    private static Map<String, String> compact(Map<String, String> values) {
        Map<String, String> compacted = new HashMap<>();
        values.forEach((name, value) -> compacted.put(shared(name), value));
        return Map.copyOf(compacted);
    }

    private static String shared(String name) {
        return SettingKeys.find(name).map(SettingKey::name).orElse(name);
    }

    /** Returns a node that exists. */
    public static SettingsNode of(NodePath path, long version, Map<String, String> values) {
        return new SettingsNode(path, version, values, false);
    }

    /** Returns the sign that a node is gone. */
    public static SettingsNode tombstone(NodePath path, long version) {
        return new SettingsNode(path, version, Map.of(), true);
    }

    /**
     * Returns the parsed value of a key, or null if the node does not set it. A text that does not
     * parse counts as not set: a newer control may know forms that this program does not.
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
