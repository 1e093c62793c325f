package org.laurelweir.settings;

/** Writes the table of all keys for docs/SETTINGS.md. */
public final class KeyTable {
    private KeyTable() {}

    /** Returns the table in Markdown, a line for each key. */
    public static String markdown() {
        StringBuilder s = new StringBuilder();
        s.append("| key | default | allowed | where | meaning |\n|---|---|---|---|---|\n");
        for (SettingKey<?> key : SettingKeys.all()) {
            s.append(String.format("| `%s` | %s ", key.name(), code(key.defaultText())));
            s.append(String.format("| %s | %s ", key.allowed(), key.allowedPlaces()));
            s.append(String.format("| %s |\n", key.doc()));
        }
        return s.toString();
    }

    private static String code(String text) {
        return text.isEmpty() ? "none" : "`" + text + "`";
    }
}
