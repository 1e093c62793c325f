package org.laurelweir.runtime.config;

import java.lang.reflect.RecordComponent;
import java.util.List;

/** Checks values against the {@link Range} and {@link OneOf} of their record components. */
final class Bounds {
    private Bounds() {}

    static boolean accept(RecordComponent component, ScalarType type, Object value) {
        OneOf oneOf = component.getAnnotation(OneOf.class);
        if (oneOf != null && !List.of(oneOf.value()).contains(value.toString())) {
            return false;
        }
        Range range = component.getAnnotation(Range.class);
        if (range == null) {
            return true;
        }
        return (range.min().isEmpty() || compare(value, type.parser().apply(range.min())) >= 0)
                && (range.max().isEmpty() || compare(value, type.parser().apply(range.max())) <= 0);
    }

    /** Returns a description of the allowed values, for a fault message. */
    static String allowed(RecordComponent component, ScalarType type) {
        OneOf oneOf = component.getAnnotation(OneOf.class);
        if (oneOf != null) {
            return String.join(", ", oneOf.value());
        }
        Range range = component.getAnnotation(Range.class);
        if (range == null) {
            return type.allowed();
        }
        if (range.min().isEmpty()) {
            return type.allowed() + ", at most " + range.max();
        }
        if (range.max().isEmpty()) {
            return type.allowed() + ", at least " + range.min();
        }
        return type.allowed() + ", from " + range.min() + " to " + range.max();
    }

    @SuppressWarnings("unchecked")
    private static int compare(Object value, Object limit) {
        return ((Comparable<Object>) value).compareTo(limit);
    }
}
