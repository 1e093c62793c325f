package org.laurelweir.standin.engine;

import org.laurelweir.runtime.config.Default;
import org.laurelweir.runtime.config.Range;

/**
 * The speed and the limits of the engine model.
 *
 * @param tokensPerSecond the output rate of a stream that is alone in the batch
 * @param batchKnee the number of further streams that halves the rate of each
 * @param prefillTokensPerSecond the rate at which uncached prompt tokens are processed
 * @param maxRunning the maximum number of requests in the batch
 * @param maxWaiting the maximum number of requests that wait for the batch
 * @param cacheBlocks the capacity of the prefix cache, in blocks of 16 tokens
 * @param maxKept the maximum number of ended requests that can be resumed
 */
public record BatchSettings(
        @Default("200") @Range(min = "0.1") double tokensPerSecond,
        @Default("8") @Range(min = "0.1") double batchKnee,
        @Default("20000") @Range(min = "1") double prefillTokensPerSecond,
        @Default("32") @Range(min = "1") int maxRunning,
        @Default("256") @Range(min = "1") int maxWaiting,
        @Default("4096") @Range(min = "1") int cacheBlocks,
        @Default("256") @Range(min = "1") int maxKept) {
    /** The defaults of the settings file. */
    public static final BatchSettings DEFAULT =
            new BatchSettings(200, 8, 20_000, 32, 256, 4096, 256);

    /** Returns these settings with other rates. */
    public BatchSettings withRates(double tokens, double knee, double prefillTokens) {
        return new BatchSettings(
                tokens, knee, prefillTokens, maxRunning, maxWaiting, cacheBlocks, maxKept);
    }

    /**
     * Returns the output rate of each stream, in tokens per second, for a number of decoding
     * streams.
     */
    public double tokensPerSecondEach(int streams) {
        return tokensPerSecond / (1 + Math.max(0, streams - 1) / batchKnee);
    }
}
