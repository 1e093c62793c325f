package org.laurelweir.runtime.config;

/**
 * A fault in a settings file.
 *
 * @param file path of the file, as the caller gave it
 * @param line line number, counted from 1
 * @param key path of the key, such as {@code peers[0].endpoint}; empty for a fault of the whole
 *     file
 * @param problem description of the fault
 * @param allowed description of the allowed values
 */
public record SettingsFault(String file, int line, String key, String problem, String allowed) {
    /**
     * Returns the fault as one line that begins with the file and line number, as compiler messages
     * do.
     */
    @Override
    public String toString() {
        String where = file + ":" + line + ": ";
        String what = key.isEmpty() ? problem : key + ": " + problem;
        return where + what + "; allowed: " + allowed;
    }
}
