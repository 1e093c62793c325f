package org.laurelweir.runtime.config;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The least and greatest value of a number, duration or size, both allowed. On a list it holds for
 * each element.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Range {
    /** The least value, written as the file would write it; empty for no limit. */
    String min() default "";

    /** The greatest value, written as the file would write it; empty for no limit. */
    String max() default "";
}
