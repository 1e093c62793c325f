package org.laurelweir.runtime.config;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a key whose text defines a name to which keys marked {@link RefersTo} may refer. Each name
 * of a kind is unique in a file.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Defines {
    /** The kind of the named thing; the same text as in the {@link RefersTo} of its references. */
    String value();
}
