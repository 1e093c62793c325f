package org.laurelweir.direct;

/**
 * The load up to which a backend server accepts prompts by its rank. Above the lower bound a part
 * of the prompts spills over to other servers, growing with the load; above the upper bound all of
 * them do. With a single bound all routers would leave a server at the same load report and return
 * to it at the next.
 */
final class SpillBound {
    /**
     * Reading a shared part again at another engine costs as much as some ten requests that only
     * generate tokens. Up to this multiple of the mean, reuse of the cache is therefore worth more
     * than an even load.
     */
    private static final double UPPER_FACTOR = 1.9;

    private static final double UPPER_EXTRA = 2;

    private static final double LOWER_FACTOR = 1.2;

    private static final double LOWER_EXTRA = 1;

    private final double mLower;
    private final double mUpper;

    /**
     * Creates the bounds for the servers of a service.
     *
     * @param mean mean number of requests of a backend server of the service
     */
    SpillBound(double mean) {
        mLower = LOWER_FACTOR * mean + LOWER_EXTRA;
        mUpper = UPPER_FACTOR * mean + UPPER_EXTRA;
    }

    /** Returns the load above which a backend server accepts no prompt by its rank. */
    double upper() {
        return mUpper;
    }

    /**
     * Returns whether a backend server accepts a prompt.
     *
     * @param load the number of requests of the server
     * @param draw a uniform random number from 0 to 1
     */
    boolean admits(double load, double draw) {
        return load <= mUpper - (mUpper - mLower) * draw;
    }
}
