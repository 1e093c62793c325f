package org.laurelweir.runtime.config;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The text names something to which a key marked {@link RefersTo} may refer; a name stands once.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Defines {
    /** The kind of thing that is named. */
    String value();
}
