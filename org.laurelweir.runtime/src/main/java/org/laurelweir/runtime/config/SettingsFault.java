package org.laurelweir.runtime.config;

/**
 * One thing wrong in a settings file.
 *
 * @param file the file as it was named
 * @param line counted from 1
 * @param key the key with the keys above it, such as {@code peers[0].endpoint}; empty for the file
 * @param problem what is wrong
 * @param allowed what may stand there
 */
public record SettingsFault(String file, int line, String key, String problem, String allowed) {
    /** Returns the fault in one line, place first, as compilers do. */
    @Override
    public String toString() {
        String where = file + ":" + line + ": ";
        String what = key.isEmpty() ? problem : key + ": " + problem;
        return where + what + "; allowed: " + allowed;
    }
}
