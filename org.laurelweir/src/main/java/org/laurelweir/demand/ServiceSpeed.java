package org.laurelweir.demand;

import java.time.Duration;
import java.time.Instant;

/**
 * How long the backend servers of one service take, as this router's calls show: for an engine the
 * time to the first event, which is a base time and a time for each token to be prefilled, and the
 * gap between events; for a plain server the time to the answer. All are of a server of slowness 1.
 */
public final class ServiceSpeed {
    /** Minimum weight of the observations for predictions; 1 for each that has not decayed. */
    private static final double MIN_OBSERVATIONS = 10;

    private static final Duration DECAY = Duration.ofSeconds(60);

    /** Prefill rate before any observation, in tokens per millisecond; engines do 32 and more. */
    private static final double PRIOR_RATE = 30;

    /** Weight of that rate: as much as ten observations of 1,000 tokens. */
    private static final double PRIOR_SQUARES = 10 * 1000 * 1000;

    /** Plausible prefill rates in tokens per millisecond. */
    private static final double MIN_RATE = 2;

    private static final double MAX_RATE = 1000;

    /** Longer times count as this one: they are due to a stall, not to the speed. */
    private static final double MAX_MILLIS = 10_000;

    /** Weight of a prior that only keeps an empty mean from being undefined. */
    private static final double NO_PRIOR = 1e-6;

    /** Several prompts have to find their parts cached before any is expected to. */
    private static final double HIT_PRIOR_WEIGHT = 5;

    private final DecayingMean mTokens = new DecayingMean(0, NO_PRIOR, DECAY);
    private final DecayingMean mMillis = new DecayingMean(0, NO_PRIOR, DECAY);
    private final DecayingMean mTokensTimesMillis = new DecayingMean(0, NO_PRIOR, DECAY);
    private final DecayingMean mSquaredTokens = new DecayingMean(0, NO_PRIOR, DECAY);
    private final DecayingMean mGap = new DecayingMean(0, NO_PRIOR, DECAY);
    private final DecayingMean mAnswer = new DecayingMean(0, NO_PRIOR, DECAY);

    /** Products of tokens and milliseconds: of tokens to be prefilled, and of tokens held. */
    private final DecayingMean mWaiting = new DecayingMean(0, NO_PRIOR, DECAY);

    private final DecayingMean mHeld = new DecayingMean(0, NO_PRIOR, DECAY);

    private final DecayingMean mFirstHits = new DecayingMean(0, HIT_PRIOR_WEIGHT, DECAY);
    private final DecayingMean mOtherHits = new DecayingMean(0, HIT_PRIOR_WEIGHT, DECAY);

    /** Returns whether enough has been observed to predict times to the first event. */
    public boolean isLearned(Instant now) {
        return mMillis.weight(now) >= MIN_OBSERVATIONS;
    }

    /**
     * Records the time to the first event of an answer.
     *
     * @param tokens tokens that were to be prefilled before, times the slowness of the server
     */
    public void onFirstEvent(Instant now, double tokens, double millis) {
        double limited = Math.min(MAX_MILLIS, millis);
        mTokens.add(now, tokens, 1);
        mMillis.add(now, limited, 1);
        mTokensTimesMillis.add(now, tokens * limited, 1);
        mSquaredTokens.add(now, tokens * tokens, 1);
    }

    /**
     * Returns the predicted time to the first event in milliseconds.
     *
     * @param tokens tokens to be prefilled before it, times the slowness of the server
     */
    public double firstEventMillis(Instant now, double tokens) {
        double perToken = millisPerToken(now);
        double base = Math.max(0, mMillis.value(now) - perToken * mTokens.value(now));
        return base + perToken * tokens;
    }

    /** Returns the slope of the least-squares line, held by the prior while the sizes are alike. */
    private double millisPerToken(Instant now) {
        double n = mTokens.weight(now);
        double mean = mTokens.value(now);
        double covariance = n * (mTokensTimesMillis.value(now) - mean * mMillis.value(now));
        double variance = n * Math.max(0, mSquaredTokens.value(now) - mean * mean);
        double slope = (covariance + PRIOR_SQUARES / PRIOR_RATE) / (variance + PRIOR_SQUARES);
        return Math.max(1 / MAX_RATE, Math.min(1 / MIN_RATE, slope));
    }

    /**
     * Records the mean gap between the events of an answer.
     *
     * @return the gap relative to the mean of the service; NaN if that is not known yet
     */
    public double onGap(Instant now, double millis, double slowness) {
        return ratio(mGap, now, millis, slowness);
    }

    /**
     * Records the time to the answer of a plain server.
     *
     * @param millis the time, less what the load of the server explains
     * @return the time relative to the mean of the service; NaN if that is not known yet
     */
    public double onAnswer(Instant now, double millis, double slowness) {
        return ratio(mAnswer, now, millis, slowness);
    }

    private static double ratio(DecayingMean mean, Instant now, double millis, double slowness) {
        mean.add(now, Math.min(MAX_MILLIS, millis) / slowness, 1);
        double usual = mean.value(now);
        return mean.weight(now) < MIN_OBSERVATIONS || usual <= 0 ? Double.NaN : millis / usual;
    }

    /** Records how long a request waited for its prefill, and how long it held its tokens. */
    public void onEnded(
            Instant now,
            double prefillTokens,
            double waitMillis,
            double heldTokens,
            double heldMillis) {
        mWaiting.add(now, prefillTokens * waitMillis, 1);
        mHeld.add(now, heldTokens * heldMillis, 1);
    }

    /**
     * Returns the share of the held tokens that are still to be prefilled at a time, by which the
     * requests of other routers are estimated; 0 before any observation.
     */
    public double waitingShare(Instant now) {
        double held = mHeld.value(now);
        return held <= 0 ? 0 : Math.min(1, mWaiting.value(now) / held);
    }

    /**
     * Records whether a server had shared parts cached that this router had not sent there.
     *
     * @param isFirst whether the server ranked first for them
     */
    public void onUncertainPart(Instant now, boolean isFirst, boolean wasCached) {
        (isFirst ? mFirstHits : mOtherHits).add(now, wasCached ? 1 : 0, 1);
    }

    /** Returns how often servers had such parts cached, from 0 to 1; 0 without observations. */
    public double hitShare(Instant now, boolean isFirst) {
        return (isFirst ? mFirstHits : mOtherHits).value(now);
    }
}
