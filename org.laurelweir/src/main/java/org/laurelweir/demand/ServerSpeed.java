package org.laurelweir.demand;

import java.time.Duration;
import java.time.Instant;

/**
 * How long one incarnation of a backend server takes for its work, relative to its service: 1 is
 * the usual time, 2 is twice as long. It is learned from the router's calls, and from the work time
 * that the server reports. Without observations it returns to 1.
 */
public final class ServerSpeed {
    /** How long a reported work time is used; other load on the instance changes in a second. */
    static final Duration WORK_TIME_VALIDITY = Duration.ofSeconds(1);

    /** A router calls one of many engines every few seconds; this spans some of its calls. */
    private static final Duration DECAY = Duration.ofSeconds(30);

    /** Several calls have to agree before a server counts as slow. */
    private static final double PRIOR_WEIGHT = 3;

    /** Limits of a single observation, so that a lost packet or a cache hit can't decide alone. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 4;

    /** Longer work times count as this one: the server is avoided, but can be taken again. */
    private static final double MAX_WORK_TIME = 20;

    private static final double PERCENT = 100;

    /** The ratio of observed to usual times, which includes the effect of the work time. */
    private final DecayingMean mOverall = new DecayingMean(1, PRIOR_WEIGHT, DECAY);

    /** The same ratio divided by the reported work time: the speed of the server itself. */
    private final DecayingMean mAtUsualWorkTime = new DecayingMean(1, PRIOR_WEIGHT, DECAY);

    private double mWorkTime = 1;
    private Instant mWorkTimeSince = Instant.MIN;

    /** Records the work time that the server reports, in percent of the usual. */
    public void onWorkTime(Instant now, int percent) {
        mWorkTime = Math.min(MAX_WORK_TIME, percent / PERCENT);
        mWorkTimeSince = now;
    }

    /**
     * Records the time that something took.
     *
     * @param ratio the observed time relative to that of a server of slowness 1; ignored if it is
     *     NaN
     * @param weight weight of the time, relative to that of a time to the first event
     */
    public void onTime(Instant now, double ratio, double weight) {
        if (Double.isNaN(ratio)) {
            return;
        }
        mOverall.add(now, limited(ratio), weight);
        if (isWorkTimeFresh(now)) {
            mAtUsualWorkTime.add(now, limited(ratio / mWorkTime), weight);
        }
    }

    private static double limited(double ratio) {
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    }

    /** Returns the time that work takes on this server now, relative to the usual time. */
    public double slowness(Instant now) {
        return isWorkTimeFresh(now) ? mWorkTime * mAtUsualWorkTime.value(now) : mOverall.value(now);
    }

    private boolean isWorkTimeFresh(Instant now) {
        // A time after now is from before the clock was set back.
        return !mWorkTimeSince.equals(Instant.MIN)
                && !mWorkTimeSince.isAfter(now)
                && now.isBefore(mWorkTimeSince.plus(WORK_TIME_VALIDITY));
    }
}
