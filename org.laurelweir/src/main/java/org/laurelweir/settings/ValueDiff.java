package org.laurelweir.settings;

/**
 * A value that differs between the trees at two log positions.
 *
 * @param path the node
 * @param key the key's name
 * @param before the value at the first position, or null if it was not set
 * @param after the value at the second position, or null if it is not set
 */
public record ValueDiff(NodePath path, String key, String before, String after) {}
