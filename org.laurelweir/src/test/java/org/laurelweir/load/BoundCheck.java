package org.laurelweir.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.laurelweir.load.FleetEngines.Arrival;

/** Counts requests that reach engines over the bound, in each window of some seconds. */
final class BoundCheck {
    private static final int WINDOW_MILLIS = 5000;

    /** More than this share of a window's requests, and this many at least, break the promise. */
    private static final double MOST_SHARE = 0.03;

    private static final int LEAST_COUNT = 20;

    private final Deque<Arrival> mWindow = new ArrayDeque<>();
    private int mOver;
    private int mMost;
    private boolean mBroken;

    BoundCheck(List<Arrival> arrivals) {
        arrivals.forEach(this::add);
    }

    private void add(Arrival a) {
        while (!mWindow.isEmpty() && mWindow.peek().atMillis() <= a.atMillis() - WINDOW_MILLIS) {
            count(mWindow.remove(), -1);
        }
        mWindow.add(a);
        count(a, 1);
        mMost = Math.max(mMost, mOver);
        mBroken |= mOver >= LEAST_COUNT && mOver > MOST_SHARE * mWindow.size();
    }

    private void count(Arrival a, int by) {
        mOver += a.isOverBound() ? by : 0;
    }

    /** Returns whether any window has too many. */
    boolean isBroken() {
        return mBroken;
    }

    /** Returns the largest number in a window. */
    int most() {
        return mMost;
    }

    @Override
    public String toString() {
        return mMost + " requests to engines over the bound in a window";
    }
}
