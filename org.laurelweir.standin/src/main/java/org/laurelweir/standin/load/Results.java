package org.laurelweir.standin.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects what the requests of a run came to. Safe for use by several threads. */
final class Results {
    private static final long HIGHEST_MICROS = 3_600_000_000L;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1000;

    private final Histogram mFirstToken = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram mWhole = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Map<String, Integer> mErrors = new TreeMap<>();
    private final Map<String, Integer> mRefusals = new TreeMap<>();
    private int mSent;
    private int mAnswered;
    private long mReturningPromptTokens;
    private long mReturningCachedTokens;

    /** Counts a request that is sent for the first time. */
    synchronized void sent() {
        mSent++;
    }

    /** Counts an attempt that was refused and will be made again. */
    synchronized void refused(String code) {
        mRefusals.merge(code, 1, Integer::sum);
    }

    /** Counts a request that got no whole own answer. */
    synchronized void failed(String code) {
        mErrors.merge(code, 1, Integer::sum);
    }

    /** Counts a whole own answer. */
    synchronized void answered(Reply reply) {
        mAnswered++;
        record(mWhole, reply.endNanos() - reply.startNanos());
        long first = reply.lines().firstTokenNanos();
        if (first != 0) {
            record(mFirstToken, first - reply.startNanos());
        }
    }

    /** Counts the prompt of a chat that returned. */
    synchronized void returned(int promptTokens, int cachedTokens) {
        mReturningPromptTokens += promptTokens;
        mReturningCachedTokens += cachedTokens;
    }

    /** Returns the counts so far. */
    synchronized Report.Requests requests(int planned) {
        return new Report.Requests(
                planned, mSent, mAnswered, new TreeMap<>(mErrors), new TreeMap<>(mRefusals));
    }

    /** Returns the share of returning chats' prompt tokens that was cached; 0 if none returned. */
    synchronized double cacheReuse() {
        return mReturningPromptTokens == 0
                ? 0
                : (double) mReturningCachedTokens / mReturningPromptTokens;
    }

    synchronized Report.Latency firstToken() {
        return Report.Latency.of(mFirstToken);
    }

    synchronized Report.Latency wholeAnswer() {
        return Report.Latency.of(mWhole);
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(HIGHEST_MICROS, nanos / NANOS_PER_MICRO));
    }
}
