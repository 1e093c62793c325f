package org.laurelweir.standin.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of the requests of a run. Thread-safe. */
final class Results {
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1000;

    private final Histogram mFirstToken = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram mWhole = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> mErrors = new TreeMap<>();
    private final Map<String, Integer> mRefusals = new TreeMap<>();
    private int mSent;
    private int mAnswered;
    private long mReturningPromptTokens;
    private long mReturningCachedTokens;

    /** Counts a request at its first attempt. */
    synchronized void countSent() {
        mSent++;
    }

    /** Counts an attempt that was refused and will be retried. */
    synchronized void countRefused(String code) {
        mRefusals.merge(code, 1, Integer::sum);
    }

    /** Counts a request that did not get its own complete answer. */
    synchronized void countFailed(String code) {
        mErrors.merge(code, 1, Integer::sum);
    }

    /** Counts a request that got its own complete answer, and records its latency. */
    synchronized void countAnswered(Reply reply) {
        mAnswered++;
        record(mWhole, reply.endNanos() - reply.startNanos());
        long first = reply.lines().firstTokenNanos();
        if (first != 0) {
            record(mFirstToken, first - reply.startNanos());
        }
    }

    /** Counts the prompt tokens of a call after a chat's first one. */
    synchronized void countReturningPrompt(int promptTokens, int cachedTokens) {
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
        histogram.recordValue(Math.min(MAX_MICROS, nanos / NANOS_PER_MICRO));
    }
}
