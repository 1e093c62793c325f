package org.laurelweir.settings;

/**
 * A validation error of a settings change.
 *
 * @param path the node's path as the change names it
 * @param key the key's name, or empty if the fault concerns the whole node
 * @param problem what is wrong
 * @param allowed what is allowed instead
 */
public record NodeFault(String path, String key, String problem, String allowed) {
    /** Returns the fault as one line for operators. */
    @Override
    public String toString() {
        String where = key.isEmpty() ? path : path + " " + key;
        return where + ": " + problem + "; allowed: " + allowed;
    }
}
