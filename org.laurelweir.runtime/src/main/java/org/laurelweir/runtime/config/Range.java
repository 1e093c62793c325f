package org.laurelweir.runtime.config;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The minimum and maximum of a number, duration or size, both inclusive. On a list, it applies to
 * each element.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Range {
    /** The minimum, in the notation of the file; empty for no minimum. */
    String min() default "";

    /** The maximum, in the notation of the file; empty for no maximum. */
    String max() default "";
}
