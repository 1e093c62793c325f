package org.laurelweir.settings;

/**
 * One setting as it holds, and whence.
 *
 * @param key the key's name
 * @param text the value as written
 * @param from the node that sets it, or null where the default holds
 */
public record EffectiveValue(String key, String text, NodePath from) {}
