package org.laurelweir.runtime.config;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The text must be a name that a key marked {@link Defines} gives somewhere in the file. On a list
 * it holds for each element.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface RefersTo {
    /** The kind of thing that is referred to. */
    String value();
}
