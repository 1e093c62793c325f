package org.laurelweir.settings;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * One key of the settings tree: what its values are, where it may stand and what holds if it stands
 * nowhere. All keys are in {@link SettingKeys}.
 *
 * @param <T> the values
 */
public final class SettingKey<T> {
    private final int mIndex;
    private final String mName;
    private final SettingType<T> mType;
    private final String mDefaultText;
    private final String mMin;
    private final String mMax;
    private final Set<Level> mLevels;
    private final boolean mDefinition;
    private final String mDoc;

    private SettingKey(Builder<T> b, int index) {
        mIndex = index;
        mName = b.mName;
        mType = b.mType;
        mDefaultText = b.mDefaultText;
        mMin = b.mMin;
        mMax = b.mMax;
        mLevels = Collections.unmodifiableSet(b.mLevels);
        mDefinition = b.mDefinition;
        mDoc = b.mDoc;
    }

    /** Returns the name, such as {@code queue.max-age}. */
    public String name() {
        return mName;
    }

    /** Returns how values are written. */
    public SettingType<T> type() {
        return mType;
    }

    /** Returns the value that holds if no node sets the key, as it would be written. */
    public String defaultText() {
        return mDefaultText;
    }

    /** Returns the value that holds if no node sets the key. */
    public T defaultValue() {
        return mType.parser().apply(mDefaultText);
    }

    /** Returns what the key is for, in a sentence or two, with its unit. */
    public String doc() {
        return mDoc;
    }

    /** Returns the levels on which a node may set the key: its most specific level counts. */
    public Set<Level> levels() {
        return mLevels;
    }

    /**
     * Returns whether the key belongs to the definition of a service or client account, and stands
     * only in the node that names just that one.
     */
    public boolean isDefinition() {
        return mDefinition;
    }

    /** Returns what a value looks like and between which limits it lies. */
    public String allowed() {
        if (mMin == null) {
            return mType.allowed();
        }
        return mType.allowed() + ", from " + mMin + " to " + mMax;
    }

    /** Returns in which nodes the key may stand, for the reader of a fault. */
    public String allowedPlaces() {
        Level last = Collections.max(mLevels);
        if (mDefinition) {
            return "/" + last.word() + "=NAME";
        }
        return mLevels.size() == 1
                ? last.word() + " nodes"
                : "nodes from " + Level.DEPLOYMENT.word() + " to " + last.word();
    }

    /** Returns whether a node may set the key. */
    public boolean mayStandIn(NodePath path) {
        return mLevels.contains(path.level()) && (!mDefinition || path.isOnly(path.level()));
    }

    /**
     * Reads a value.
     *
     * @param text the value as written
     * @return the value
     * @throws IllegalArgumentException if the text has another form or lies out of range
     */
    public T parse(String text) {
        T value = mType.parser().apply(text);
        if (mMin != null && (compare(value, mMin) < 0 || compare(value, mMax) > 0)) {
            throw new IllegalArgumentException("out of range: " + text);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    private int compare(T value, String limit) {
        return ((Comparable<T>) value).compareTo(mType.parser().apply(limit));
    }

    int index() {
        return mIndex;
    }

    @Override
    public String toString() {
        return mName;
    }

    static <T> Builder<T> builder(String name, SettingType<T> type) {
        return new Builder<>(name, type);
    }

    /** Collects what a key is. */
    static final class Builder<T> {
        private final String mName;
        private final SettingType<T> mType;
        private String mDefaultText = "";
        private String mMin;
        private String mMax;
        private Set<Level> mLevels = EnumSet.range(Level.DEPLOYMENT, Level.RULE);
        private boolean mDefinition;
        private String mDoc = "";

        private Builder(String name, SettingType<T> type) {
            mName = name;
            mType = type;
        }

        Builder<T> by(String defaultText) {
            mDefaultText = defaultText;
            return this;
        }

        Builder<T> range(String min, String max) {
            mMin = min;
            mMax = max;
            return this;
        }

        /** Allows the key on the levels from the deployment down to this one. */
        Builder<T> downTo(Level level) {
            mLevels = EnumSet.range(Level.DEPLOYMENT, level);
            return this;
        }

        /** Allows the key only in nodes whose most specific level is this one. */
        Builder<T> only(Level level) {
            mLevels = EnumSet.of(level);
            return this;
        }

        /** Allows the key only in the node that defines a service or client account. */
        Builder<T> defines(Level level) {
            mDefinition = true;
            return only(level);
        }

        Builder<T> doc(String doc) {
            mDoc = doc;
            return this;
        }

        SettingKey<T> build(int index) {
            SettingKey<T> key = new SettingKey<>(this, index);
            key.parse(mDefaultText);
            return key;
        }
    }
}
