package org.laurelweir.coordination;

import java.util.HashMap;
import java.util.Map;

/**
 * Gives equal values the same object. Claims repeat few accounts, routers and backend servers, and
 * each claim decoded from the log brings copies of its own.
 *
 * @param <T> an immutable type
 */
final class Interner<T> {
    /** Names come and go; starting anew costs one further copy of those in use. */
    private static final int MAX_VALUES = 1 << 16;

    private final Map<T, T> mValues = new HashMap<>();

    T intern(T value) {
        if (mValues.size() >= MAX_VALUES) {
            mValues.clear();
        }
        T known = mValues.putIfAbsent(value, value);
        return known == null ? value : known;
    }
}
