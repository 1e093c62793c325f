package org.laurelweir.direct;

/**
 * Up to which load a backend server takes prompts by its rank. Above the lower bound some go past
 * it, more of them the more it has, above the upper one all: were there one bound only, all routers
 * would leave a server at the same news of it, and come back at the next.
 */
final class SpillBound {
    /**
     * Reading a shared part anew elsewhere costs an engine as much as some ten requests that only
     * generate, so that evenness is worth less than reuse up to here.
     */
    private static final double UPPER_FACTOR = 1.9;

    private static final double UPPER_EXTRA = 2;

    private static final double LOWER_FACTOR = 1.2;

    private static final double LOWER_EXTRA = 1;

    private final double mLower;
    private final double mUpper;

    /**
     * Creates the bounds of a service.
     *
     * @param mean requests that its backend servers have on the mean
     */
    SpillBound(double mean) {
        mLower = LOWER_FACTOR * mean + LOWER_EXTRA;
        mUpper = UPPER_FACTOR * mean + UPPER_EXTRA;
    }

    /** Returns the load above which a backend server takes no more. */
    double upper() {
        return mUpper;
    }

    /**
     * Returns whether a backend server takes a prompt.
     *
     * @param load its requests
     * @param draw a random number from 0 to 1
     */
    boolean admits(double load, double draw) {
        return load <= mUpper - (mUpper - mLower) * draw;
    }
}
