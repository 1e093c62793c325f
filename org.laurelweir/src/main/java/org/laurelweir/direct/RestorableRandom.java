package org.laurelweir.direct;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The sequence of a {@link SplittableRandom}, whose state can be read and restored. An explanation
 * of a request that is not sent draws the numbers that the next request will draw.
 */
final class RestorableRandom implements RandomGenerator {
    /** The increment of a SplittableRandom with a given seed. */
    private static final long GAMMA = 0x9E3779B97F4A7C15L;

    private long mState;

    RestorableRandom(long seed) {
        mState = seed;
    }

    /** Returns the state, from which the next numbers follow. */
    long state() {
        return mState;
    }

    void restore(long state) {
        mState = state;
    }

    @Override
    public long nextLong() {
        mState += GAMMA;
        long z = (mState ^ (mState >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    @Override
    public int nextInt() {
        mState += GAMMA;
        long z = (mState ^ (mState >>> 33)) * 0x62A9D9ED799705F5L;
        return (int) (((z ^ (z >>> 28)) * 0xCB24D0A5C88C35B3L) >>> 32);
    }
}
