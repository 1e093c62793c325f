package org.laurelweir.standin.engine;

/**
 * The engine's load at one time.
 *
 * @param measuredAt milliseconds since 1970
 * @param running requests in the batch
 * @param waiting requests that wait for the batch
 * @param runningTokens prompt and output tokens of the requests in the batch
 * @param cacheBlocks blocks in the prefix cache
 * @param cacheCapacity the capacity of the prefix cache, in blocks
 */
public record LoadReport(
        long measuredAt,
        int running,
        int waiting,
        int runningTokens,
        int cacheBlocks,
        int cacheCapacity) {}
