package org.laurelweir.benchmarks.hedging;

/** A way to hedge requests. */
enum Way {
    NONE("none"),
    /** A copy after half of the target, without any limit. */
    FIXED("fixed delay"),
    /** A copy after the quantile, without any limit. */
    QUANTILE("quantile, no limits"),
    /** What routers do: a copy after the quantile, within the share and below 0.8 in use. */
    LIMITED("quantile, limits"),
    /** Two copies, nearly at once; the server that starts one has the other cancelled. */
    TIED("tied");

    final String mName;

    Way(String name) {
        mName = name;
    }
}
