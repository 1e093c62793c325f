package org.laurelweir.runtime.config;

import java.util.List;
import java.util.Map;

/** A YAML value and the line on which it begins. */
sealed interface YamlNode {
    /** Returns the line number, counted from 1. */
    int line();

    /** Returns a description of the value, for fault messages. */
    String description();

    /**
     * A text, a number, a boolean or an empty value.
     *
     * @param line counted from 1
     * @param text the value as written, without quotes; null if the value is empty
     */
    record Scalar(int line, String text) implements YamlNode {
        @Override
        public String description() {
            return text == null ? "nothing" : "\"" + text + "\"";
        }
    }

    /**
     * A mapping of keys to values.
     *
     * @param line counted from 1
     * @param entries in the order of the file
     */
    record Mapping(int line, Map<String, Entry> entries) implements YamlNode {
        @Override
        public String description() {
            return "a mapping";
        }
    }

    /**
     * A YAML sequence.
     *
     * @param line counted from 1
     * @param items in the order of the file
     */
    record Sequence(int line, List<YamlNode> items) implements YamlNode {
        @Override
        public String description() {
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
