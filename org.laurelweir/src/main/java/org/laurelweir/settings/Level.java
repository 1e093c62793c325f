package org.laurelweir.settings;

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

    /** Returns the word that a node's path uses, such as {@code data-centre}. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    int bit() {
        return 1 << ordinal();
    }
}
