package org.laurelweir.hedging;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells after which time without an answer a request is hedged, from the times to the first data
 * that this router saw on the same route. The records are bounded in time, number and routes.
 */
public final class HedgeDelay {
    /** Requests slower than this share of a route's requests are hedged. */
    private static final double QUANTILE = 0.95;

    private static final double MEDIAN = 0.5;

    /** Age after which a time is no longer used; loads change within some seconds. */
    private static final Duration WINDOW = Duration.ofSeconds(30);

    /** Minimum number of times to take quantiles of; the 0.95 quantile of fewer is the longest. */
    private static final int MIN_SAMPLES = 20;

    /** Maximum number of recorded times of a route, the latest ones. */
    private static final int MAX_SAMPLES = 256;

    /** Maximum number of routes; with 16 bytes for each time they take at most 2 MB. */
    private static final int MAX_ROUTES = 512;

    /** How long computed quantiles are used: one sort serves all requests of some scans. */
    private static final Duration QUANTILE_LIFETIME = Duration.ofMillis(100);

    private final Map<String, Samples> mRoutes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Samples> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /**
     * When to hedge a call.
     *
     * @param delay time since the start of the call
     * @param canMeetObjective whether a copy sent then is likely to meet the route's objective
     */
    public record Due(Duration delay, boolean canMeetObjective) {}

    /**
     * Records the time from the start of a call to its first data. For a call that was cancelled
     * because its copy answered first, this is the time until then: without it, the slowest times
     * would be missing and the delay would shrink with every hedged request.
     */
    public void onFirstData(String route, Duration time, Instant now) {
        mRoutes.computeIfAbsent(route, r -> new Samples()).add(time, now);
    }

    /**
     * Returns when to hedge a call.
     *
     * @param objective the time to the first data that the route aims at
     * @param waited time from the request's arrival to the start of the call
     * @param workTimeFactor how long the server takes for its work, relative to its service; below
     *     1 it has no effect
     */
    public Due due(
            String route, Duration objective, Duration waited, double workTimeFactor, Instant now) {
        double factor = Math.max(1, workTimeFactor);
        Samples samples = mRoutes.get(route);
        if (samples == null || samples.computedCount(now) < MIN_SAMPLES) {
            Duration half = objective.dividedBy(2);
            return new Due(half, waited.compareTo(half) < 0);
        }
        Duration slow = Duration.ofNanos((long) (factor * samples.mQuantile));
        Duration median = Duration.ofNanos(samples.mMedian);
        Duration latest = objective.minus(waited).minus(median);
        if (slow.compareTo(latest) <= 0) {
            return new Due(slow, true);
        }
        // Half of all requests are answered by the median: a copy before that is mostly wasted.
        boolean canMeetObjective = latest.compareTo(median) >= 0;
        return new Due(canMeetObjective ? latest : slow, canMeetObjective);
    }

    /** The latest times of one route in the order of their arrival, in a ring. */
    private static final class Samples {
        private final long[] mNanos = new long[MAX_SAMPLES];
        private final Instant[] mTimes = new Instant[MAX_SAMPLES];
        private int mStart;
        private int mCount;
        private Instant mComputedAt = Instant.MIN;
        private int mComputedCount;
        private long mQuantile;
        private long mMedian;

        void add(Duration time, Instant now) {
            if (mCount == MAX_SAMPLES) {
                removeFirst();
            }
            int i = (mStart + mCount) % MAX_SAMPLES;
            mNanos[i] = time.toNanos();
            mTimes[i] = now;
            mCount++;
        }

        /** Computes the quantiles if they are not recent; returns the number of times in them. */
        int computedCount(Instant now) {
            if (isComputedLately(now)) {
                return mComputedCount;
            }
            mComputedAt = now;
            Instant oldest = now.minus(WINDOW);
            // Times after now are from before the clock was set back.
            while (mCount > 0 && (mTimes[mStart].isBefore(oldest) || mTimes[mStart].isAfter(now))) {
                removeFirst();
            }
            computeQuantiles();
            return mComputedCount;
        }

        private boolean isComputedLately(Instant now) {
            return !mComputedAt.equals(Instant.MIN)
                    && !mComputedAt.isAfter(now)
                    && now.isBefore(mComputedAt.plus(QUANTILE_LIFETIME));
        }

        private void removeFirst() {
            mTimes[mStart] = null;
            mStart = (mStart + 1) % MAX_SAMPLES;
            mCount--;
        }

        private void computeQuantiles() {
            mComputedCount = mCount;
            if (mCount == 0) {
                return;
            }
            long[] sorted = new long[mCount];
            for (int i = 0; i < mCount; i++) {
                sorted[i] = mNanos[(mStart + i) % MAX_SAMPLES];
            }
            Arrays.sort(sorted);
            mQuantile = quantile(sorted, QUANTILE);
            mMedian = quantile(sorted, MEDIAN);
        }

        private static long quantile(long[] sorted, double share) {
            return sorted[(int) Math.ceil(share * sorted.length) - 1];
        }
    }
}
