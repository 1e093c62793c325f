package org.laurelweir.settings;

import java.util.List;
import java.util.Locale;

/** The levels of the settings tree, the most general first. */
public enum Level {
    DEPLOYMENT,
    REGION,
    DATA_CENTRE,
    SERVICE,
    ACCOUNT,
    RULE,
    ROUTE;

    /** Every level, the most general first. */
    static final List<Level> ALL = List.of(values());

    // Paths are read and written for each node of a tree that comes in, at a router's start too.
    private final String mWord = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the word that a node's path uses, such as {@code data-centre}. */
    public String word() {
        return mWord;
    }

    int bit() {
        return 1 << ordinal();
    }
}
