package org.laurelweir.runtime.config;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a key whose text must be a name that a key marked {@link Defines} defines in the same file.
 * On a list, it applies to each element.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface RefersTo {
    /** The kind of the named thing; the same text as in its {@link Defines}. */
    String value();
}
