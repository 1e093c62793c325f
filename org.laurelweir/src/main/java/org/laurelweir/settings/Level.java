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

    // Computed once: paths are parsed and formatted for each node of a received tree, which also
    // delays a router's start.
    private final String mWord = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the level's name in a node's path, such as {@code data-centre}. */
    public String word() {
        return mWord;
    }

    int bit() {
        return 1 << ordinal();
    }
}
