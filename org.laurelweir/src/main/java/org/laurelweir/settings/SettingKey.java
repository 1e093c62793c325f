package org.laurelweir.settings;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * A key of the settings tree: the type of its values, the nodes that may set it, and its default.
 * All keys are in {@link SettingKeys}.
 *
 * @param <T> the type of the values
 */
public final class SettingKey<T> {
    private final int mIndex;
    private final String mName;
    private final SettingType<T> mType;
    private final String mDefaultText;
    private final String mMin;
    private final String mMax;
    private final Set<Level> mLevels;
    private final boolean mIsDefinition;
    private final String mDoc;

    private SettingKey(Builder<T> b, int index) {
        mIndex = index;
        mName = b.mName;
        mType = b.mType;
        mDefaultText = b.mDefaultText;
        mMin = b.mMin;
        mMax = b.mMax;
        mLevels = Collections.unmodifiableSet(b.mLevels);
        mIsDefinition = b.mIsDefinition;
        mDoc = b.mDoc;
    }

    /** Returns the key's name, such as {@code queue.max-age}. */
    public String name() {
        return mName;
    }

    /** Returns the type of the values. */
    public SettingType<T> type() {
        return mType;
    }

    /** Returns the default as written in settings; it applies if no node sets the key. */
    public String defaultText() {
        return mDefaultText;
    }

    /** Returns the default, which applies if no node sets the key. */
    public T defaultValue() {
        return mType.parser().apply(mDefaultText);
    }

    /** Returns the key's description of one or two sentences, with its unit. */
    public String doc() {
        return mDoc;
    }

    /** Returns the levels on which a node may set the key; a node is on its most specific level. */
    public Set<Level> levels() {
        return mLevels;
    }

    /**
     * Returns whether the key belongs to the definition of a service, client account or route. Only
     * the node whose path names that level and no other may set it.
     */
    public boolean isDefinition() {
        return mIsDefinition;
    }

    /** Returns a description of the valid values and their range. */
    public String allowed() {
        if (mMin == null) {
            return mType.allowed();
        }
        return mType.allowed() + ", from " + mMin + " to " + mMax;
    }

    /** Returns a description of the nodes that may set the key, for error messages. */
    public String allowedNodes() {
        Level last = Collections.max(mLevels);
        if (mIsDefinition) {
            return "/" + last.word() + "=NAME";
        }
        return mLevels.size() == 1
                ? last.word() + " nodes"
                : "nodes from " + Level.DEPLOYMENT.word() + " to " + last.word();
    }

    /** Returns whether a node may set the key. */
    public boolean isAllowedIn(NodePath path) {
        return mLevels.contains(path.level()) && (!mIsDefinition || path.isOnly(path.level()));
    }

    /**
     * Parses a value.
     *
     * @param text the value as written in settings
     * @return the value
     * @throws IllegalArgumentException if the text is malformed or the value is out of range
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

    /** Builds a {@link SettingKey}. */
    static final class Builder<T> {
        private final String mName;
        private final SettingType<T> mType;
        private String mDefaultText = "";
        private String mMin;
        private String mMax;
        private Set<Level> mLevels = EnumSet.range(Level.DEPLOYMENT, Level.RULE);
        private boolean mIsDefinition;
        private String mDoc = "";

        private Builder(String name, SettingType<T> type) {
            mName = name;
            mType = type;
        }

        Builder<T> defaultsTo(String defaultText) {
            mDefaultText = defaultText;
            return this;
        }

        Builder<T> range(String min, String max) {
            mMin = min;
            mMax = max;
            return this;
        }

        /** Allows the key on the levels from the deployment to this one. */
        Builder<T> downTo(Level level) {
            mLevels = EnumSet.range(Level.DEPLOYMENT, level);
            return this;
        }

        /** Allows the key only in nodes whose most specific level is this one. */
        Builder<T> only(Level level) {
            mLevels = EnumSet.of(level);
            return this;
        }

        /** Allows the key only in the node that defines a service, client account or route. */
        Builder<T> defines(Level level) {
            mIsDefinition = true;
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
