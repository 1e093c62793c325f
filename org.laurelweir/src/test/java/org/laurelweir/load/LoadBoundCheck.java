package org.laurelweir.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.laurelweir.load.FleetEngines.Arrival;

/** Counts the requests that reach engines above the load bound, in a sliding time window. */
final class LoadBoundCheck {
    private static final int WINDOW_MILLIS = 5000;

    /** The bound is violated if more than this share of the requests in a window is above it. */
    private static final double MAX_SHARE = 0.03;

    /** Fewer requests above the bound in a window are no violation. */
    private static final int MIN_COUNT = 20;

    private final Deque<Arrival> mWindow = new ArrayDeque<>();
    private int mOverBound;
    private int mMaxOverBound;
    private boolean mViolated;

    LoadBoundCheck(List<Arrival> arrivals) {
        arrivals.forEach(this::add);
    }

    private void add(Arrival a) {
        while (!mWindow.isEmpty() && mWindow.peek().atMillis() <= a.atMillis() - WINDOW_MILLIS) {
            count(mWindow.remove(), -1);
        }
        mWindow.add(a);
        count(a, 1);
        mMaxOverBound = Math.max(mMaxOverBound, mOverBound);
        mViolated |= mOverBound >= MIN_COUNT && mOverBound > MAX_SHARE * mWindow.size();
    }

    private void count(Arrival a, int by) {
        mOverBound += a.isOverBound() ? by : 0;
    }

    /** Returns whether any window has too many requests above the bound. */
    boolean isViolated() {
        return mViolated;
    }

    /** Returns the maximum number of requests above the bound in a window. */
    int maxOverBound() {
        return mMaxOverBound;
    }

    @Override
    public String toString() {
        return mMaxOverBound + " requests above the load bound in a window";
    }
}
