package org.laurelweir.benchmarks.measure.fleet;

import org.laurelweir.benchmarks.measure.Deployment;

/** The share of prompt tokens of returning turns that were cached, in total and over time. */
public final class CacheReuse {
    /** Length of one step of the series, in seconds. */
    public static final int STEP_SECONDS = 30;

    private static final long STEP_MICROS = STEP_SECONDS * 1_000_000L;
    private static final double MICROS_PER_MINUTE = 6e7;

    private final long mChurnStartMicros;
    private final long mChurnEndMicros;
    private final long[] mPromptTokens;
    private final long[] mCachedTokens;
    private long mChurnPromptTokens;
    private long mChurnCachedTokens;

    CacheReuse(Deployment deployment) {
        mChurnStartMicros = (long) (deployment.churn().startMinute() * MICROS_PER_MINUTE);
        mChurnEndMicros =
                mChurnStartMicros + (long) (deployment.churn().minutes() * MICROS_PER_MINUTE);
        int steps = (int) (deployment.minutes() * MICROS_PER_MINUTE / STEP_MICROS) + 2;
        mPromptTokens = new long[steps];
        mCachedTokens = new long[steps];
    }

    void add(int prompt, int cached, long now) {
        int step = (int) Math.min(mPromptTokens.length - 1, now / STEP_MICROS);
        mPromptTokens[step] += prompt;
        mCachedTokens[step] += cached;
        if (now >= mChurnStartMicros && now < mChurnEndMicros) {
            mChurnPromptTokens += prompt;
            mChurnCachedTokens += cached;
        }
    }

    /** Returns the share over the whole run. */
    public double share() {
        long prompt = 0;
        long cached = 0;
        for (int i = 0; i < mPromptTokens.length; i++) {
            prompt += mPromptTokens[i];
            cached += mCachedTokens[i];
        }
        return (double) cached / prompt;
    }

    /** Returns the share while engines were replaced. */
    public double churnShare() {
        return (double) mChurnCachedTokens / mChurnPromptTokens;
    }

    /** Returns the share of each step; NaN where no turn was counted. */
    public double[] series() {
        double[] series = new double[mPromptTokens.length];
        for (int i = 0; i < series.length; i++) {
            series[i] = (double) mCachedTokens[i] / mPromptTokens[i];
        }
        return series;
    }
}
