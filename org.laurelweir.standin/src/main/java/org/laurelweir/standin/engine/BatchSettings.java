package org.laurelweir.standin.engine;

/**
 * How fast the engine model works and how much it holds. Absent numbers take the defaults.
 *
 * @param tokensPerSecond the output rate of a stream that is alone in the batch
 * @param batchKnee the number of further streams that halves the rate of each
 * @param prefillTokensPerSecond how fast prompt tokens that are not cached are worked through
 * @param maxRunning the most requests in the batch
 * @param maxWaiting the most requests that wait for the batch
 * @param cacheBlocks the most blocks of 16 tokens in the prefix cache
 * @param maxKept the most ended requests that can still be resumed
 */
public record BatchSettings(
        double tokensPerSecond,
        double batchKnee,
        double prefillTokensPerSecond,
        int maxRunning,
        int maxWaiting,
        int cacheBlocks,
        int maxKept) {
    private static final double TOKENS_PER_SECOND = 200;
    private static final double BATCH_KNEE = 8;
    private static final double PREFILL_TOKENS_PER_SECOND = 20_000;
    private static final int MAX_RUNNING = 32;
    private static final int MAX_WAITING = 256;
    private static final int CACHE_BLOCKS = 4096;
    private static final int MAX_KEPT = 256;

    /** Defaults throughout. */
    public static final BatchSettings DEFAULT = new BatchSettings(0, 0, 0, 0, 0, 0, 0);

    /** Puts the default in place of each zero and refuses what is negative. */
    public BatchSettings {
        tokensPerSecond = positive("tokensPerSecond", tokensPerSecond, TOKENS_PER_SECOND);
        batchKnee = positive("batchKnee", batchKnee, BATCH_KNEE);
        prefillTokensPerSecond =
                positive(
                        "prefillTokensPerSecond",
                        prefillTokensPerSecond,
                        PREFILL_TOKENS_PER_SECOND);
        maxRunning = (int) positive("maxRunning", maxRunning, MAX_RUNNING);
        maxWaiting = (int) positive("maxWaiting", maxWaiting, MAX_WAITING);
        cacheBlocks = (int) positive("cacheBlocks", cacheBlocks, CACHE_BLOCKS);
        maxKept = (int) positive("maxKept", maxKept, MAX_KEPT);
    }

    /** Returns the output rate of each stream, in tokens a second, when so many are decoding. */
    public double rate(int streams) {
        return tokensPerSecond / (1 + Math.max(0, streams - 1) / batchKnee);
    }

    private static double positive(String key, double value, double absent) {
        if (value < 0) {
            throw new IllegalArgumentException(key + " must be above 0, not " + value);
        }
        return value == 0 ? absent : value;
    }
}
