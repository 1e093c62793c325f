package org.laurelweir.benchmarks.measure.fleet;

import org.laurelweir.benchmarks.measure.Deployment;

/** The share of prompt tokens found cached on returning turns, as a whole and over time. */
public final class Reuse {
    /** Seconds of one point of the series. */
    public static final int STEP_SECONDS = 30;

    private static final long STEP = STEP_SECONDS * 1_000_000L;
    private static final double MICROS_PER_MINUTE = 6e7;

    private final long mChurnFrom;
    private final long mChurnTo;
    private final long[] mPrompt;
    private final long[] mCached;
    private long mChurnPrompt;
    private long mChurnCached;

    Reuse(Deployment deployment) {
        mChurnFrom = (long) (deployment.churn().startMinute() * MICROS_PER_MINUTE);
        mChurnTo = mChurnFrom + (long) (deployment.churn().minutes() * MICROS_PER_MINUTE);
        int steps = (int) (deployment.minutes() * MICROS_PER_MINUTE / STEP) + 2;
        mPrompt = new long[steps];
        mCached = new long[steps];
    }

    void add(int prompt, int cached, long now) {
        int step = (int) Math.min(mPrompt.length - 1, now / STEP);
        mPrompt[step] += prompt;
        mCached[step] += cached;
        if (now >= mChurnFrom && now < mChurnTo) {
            mChurnPrompt += prompt;
            mChurnCached += cached;
        }
    }

    /** Returns the share over the whole run. */
    public double share() {
        long prompt = 0;
        long cached = 0;
        for (int i = 0; i < mPrompt.length; i++) {
            prompt += mPrompt[i];
            cached += mCached[i];
        }
        return (double) cached / prompt;
    }

    /** Returns the share while engines were replaced. */
    public double churnShare() {
        return (double) mChurnCached / mChurnPrompt;
    }

    /** Returns the share of each step; NaN where no turn was counted. */
    public double[] series() {
        double[] series = new double[mPrompt.length];
        for (int i = 0; i < series.length; i++) {
            series[i] = (double) mCached[i] / mPrompt[i];
        }
        return series;
    }
}
