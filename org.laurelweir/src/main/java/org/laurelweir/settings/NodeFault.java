package org.laurelweir.settings;

/**
 * One thing wrong with a change of settings.
 *
 * @param path the node as the change names it
 * @param key the key, or empty for the node
 * @param problem what is wrong
 * @param allowed what may stand there
 */
public record NodeFault(String path, String key, String problem, String allowed) {
    /** Returns the fault in one line. */
    @Override
    public String toString() {
        String where = key.isEmpty() ? path : path + " " + key;
        return where + ": " + problem + "; allowed: " + allowed;
    }
}
