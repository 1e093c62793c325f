package org.laurelweir.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Returns the same object for equal values, to save memory. Many claims share the same few
 * accounts, routers and backend servers, but each claim that is decoded from the log has its own
 * copies.
 *
 * @param <T> an immutable type
 */
final class Interner<T> {
    /**
     * Number of values at which the interner is cleared, as unused values would pile up. Clearing
     * costs one more copy of each value in use.
     */
    private static final int MAX_VALUES = 1 << 16;

    private final Map<T, T> mValues = new HashMap<>();

    T intern(T value) {
        if (mValues.size() >= MAX_VALUES) {
            mValues.clear();
        }
        T existing = mValues.putIfAbsent(value, value);
        return existing == null ? value : existing;
    }
}
