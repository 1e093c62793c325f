package org.laurelweir.settings;

/**
 * The effective value of one key and its origin.
 *
 * @param key the key's name
 * @param text the value as written in settings
 * @param from the node that sets it, or null if the default applies
 */
public record EffectiveValue(String key, String text, NodePath from) {}
