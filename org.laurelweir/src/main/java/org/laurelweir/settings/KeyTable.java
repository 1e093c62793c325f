package org.laurelweir.settings;

/** Generates the table of all keys in docs/SETTINGS.md. */
public final class KeyTable {
    private KeyTable() {}

    /** Returns the table in Markdown, with one row per key. */
    public static String markdown() {
        StringBuilder s = new StringBuilder();
        s.append("| key | default | allowed | where | meaning |\n|---|---|---|---|---|\n");
        for (SettingKey<?> key : SettingKeys.all()) {
            s.append(String.format("| `%s` | %s ", key.name(), code(key.defaultText())));
            s.append(String.format("| %s | %s ", key.allowed(), key.allowedNodes()));
            s.append(String.format("| %s |\n", key.doc()));
        }
        return s.toString();
    }

    private static String code(String text) {
        return text.isEmpty() ? "none" : "`" + text + "`";
    }
}
