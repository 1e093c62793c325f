package org.laurelweir.contention;

import java.time.Instant;
import java.util.Arrays;

/** Counts how many requests ended, and how many of these failed, in a sliding window of time. */
final class OutcomeWindow {
    /** Length of the window. */
    static final long WINDOW_MILLIS = 4_000;

    /** Number of parts of the window; it moves on by one part at a time. */
    private static final int SLICES = 8;

    private static final long SLICE_MILLIS = WINDOW_MILLIS / SLICES;

    private final int[] mEnded = new int[SLICES];
    private final int[] mFailed = new int[SLICES];

    /** Number of the newest slice since the epoch. */
    private long mNewest = Long.MIN_VALUE;

    void add(Instant now, boolean failed) {
        advance(now);
        int index = (int) Math.floorMod(mNewest, (long) SLICES);
        mEnded[index]++;
        mFailed[index] += failed ? 1 : 0;
    }

    int ended(Instant now) {
        advance(now);
        return Arrays.stream(mEnded).sum();
    }

    int failed(Instant now) {
        advance(now);
        return Arrays.stream(mFailed).sum();
    }

    private void advance(Instant now) {
        long slice = Math.floorDiv(now.toEpochMilli(), SLICE_MILLIS);
        if (slice == mNewest) {
            return;
        }
        if (slice < mNewest || slice - SLICES >= mNewest) {
            // Also after the clock is set back: counts from its future would stay until then.
            Arrays.fill(mEnded, 0);
            Arrays.fill(mFailed, 0);
        } else {
            for (long s = mNewest + 1; s <= slice; s++) {
                int index = (int) Math.floorMod(s, (long) SLICES);
                mEnded[index] = 0;
                mFailed[index] = 0;
            }
        }
        mNewest = slice;
    }
}
