package org.laurelweir.waiting;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The rate at which requests of each service ended at this router in the last seconds. */
public final class EndRate {
    private static final int BUCKETS = 8;
    private static final long BUCKET_MILLIS = 250;

    /** Until this much time has been observed, the rate is unknown. */
    private static final long MIN_OBSERVED_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1000;

    private final Map<String, Ends> mByService = new HashMap<>();

    /** Records that a request of a service ended. */
    public void onEnded(Instant now, String service) {
        mByService.computeIfAbsent(service, s -> new Ends(now)).add(now);
    }

    /** Returns the requests per second that ended lately; NaN if no rate is known yet. */
    public double perSecond(Instant now, String service) {
        Ends ends = mByService.get(service);
        return ends == null ? Double.NaN : ends.perSecond(now);
    }

    /**
     * Returns the time until a number of requests have ended; zero if no rate is known yet, so that
     * a router that has just started refuses nobody by a guess.
     */
    public Duration timeFor(Instant now, String service, int count) {
        double rate = perSecond(now, service);
        if (count <= 0 || Double.isNaN(rate)) {
            return Duration.ZERO;
        }
        double max = BUCKETS * BUCKET_MILLIS * (double) count;
        double millis = rate > 0 ? MILLIS_PER_SECOND * count / rate : max;
        return Duration.ofMillis((long) Math.min(millis, max));
    }

    /** The ends of one service. */
    private static final class Ends {
        private final int[] mCounts = new int[BUCKETS];
        private final Instant mStart;
        private long mBucket;

        Ends(Instant now) {
            mStart = now;
            mBucket = bucket(now);
        }

        void add(Instant now) {
            advance(now);
            mCounts[index(mBucket)]++;
        }

        double perSecond(Instant now) {
            advance(now);
            long observed = Duration.between(mStart, now).toMillis();
            if (observed < MIN_OBSERVED_MILLIS) {
                return Double.NaN;
            }
            long intoBucket = Math.floorMod(now.toEpochMilli(), BUCKET_MILLIS);
            long window = (BUCKETS - 1) * BUCKET_MILLIS + intoBucket;
            int sum = 0;
            for (int c : mCounts) {
                sum += c;
            }
            return sum * MILLIS_PER_SECOND / Math.max(1, Math.min(window, observed));
        }

        private void advance(Instant now) {
            long bucket = Math.max(mBucket, bucket(now));
            long cleared = Math.min(BUCKETS, bucket - mBucket);
            for (long i = 0; i < cleared; i++) {
                mCounts[index(bucket - i)] = 0;
            }
            mBucket = bucket;
        }

        private static long bucket(Instant t) {
            return Math.floorDiv(t.toEpochMilli(), BUCKET_MILLIS);
        }

        private static int index(long bucket) {
            return (int) Math.floorMod(bucket, (long) BUCKETS);
        }
    }
}
