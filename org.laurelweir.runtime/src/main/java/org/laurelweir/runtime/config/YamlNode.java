package org.laurelweir.runtime.config;

import java.util.List;
import java.util.Map;

/** A YAML value that knows the line on which it begins. */
sealed interface YamlNode {
    /** Returns the line, counted from 1. */
    int line();

    /** Returns what the node is, for a reader of a fault. */
    String kind();

    /**
     * A text, number, truth value or nothing.
     *
     * @param line counted from 1
     * @param text as written, without quotes; null where the value is empty
     */
    record Scalar(int line, String text) implements YamlNode {
        @Override
        public String kind() {
            return text == null ? "nothing" : "\"" + text + "\"";
        }
    }

    /**
     * Keys with values.
     *
     * @param line counted from 1
     * @param entries in the order of the file
     */
    record Mapping(int line, Map<String, Entry> entries) implements YamlNode {
        @Override
        public String kind() {
            return "a mapping";
        }
    }

    /**
     * A list.
     *
     * @param line counted from 1
     * @param items in the order of the file
     */
    record Sequence(int line, List<YamlNode> items) implements YamlNode {
        @Override
        public String kind() {
            return "a list";
        }
    }

    /**
     * A key with its value.
     *
     * @param line the key's line, counted from 1
     * @param value the value
     */
    record Entry(int line, YamlNode value) {}
}
