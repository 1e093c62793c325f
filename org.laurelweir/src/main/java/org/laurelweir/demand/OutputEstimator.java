package org.laurelweir.demand;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Estimates the output of requests from the requests of the same route that have ended. */
public final class OutputEstimator {
    /** Tokens in each event of a stream, as the engines send them. */
    public static final int TOKENS_PER_EVENT = 4;

    /** Maximum number of routes; of the least recently used ones the outputs are forgotten. */
    private static final int MAX_ROUTES = 256;

    /** Number of latest outputs per route; at a few requests a second they span some seconds. */
    private static final int MAX_OUTPUTS = 64;

    /** Minimum number of outputs to estimate from; the 0.9 quantile of fewer is the longest one. */
    private static final int MIN_OUTPUTS = 10;

    private static final double HIGH_QUANTILE = 0.9;

    /** Hints below this share of the route's median are raised to it; most of them are wrong. */
    private static final double MIN_HINT_SHARE = 0.5;

    private final Map<String, Outputs> mByRoute =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Outputs> eldest) {
                    return size() > MAX_ROUTES;
                }
            };

    /** The latest outputs of a route, in tokens. */
    private static final class Outputs {
        private final int[] mTokens = new int[MAX_OUTPUTS];
        private long mCount;

        void add(int tokens) {
            mTokens[(int) (mCount++ % MAX_OUTPUTS)] = tokens;
        }

        int quantile(double share) {
            int size = (int) Math.min(mCount, MAX_OUTPUTS);
            int[] sorted = Arrays.copyOf(mTokens, size);
            Arrays.sort(sorted);
            return sorted[(int) Math.min(size - 1, Math.floor(share * size))];
        }
    }

    /** Records the output of a request that has ended with its whole answer. */
    public void onCompleted(String route, int tokens) {
        mByRoute.computeIfAbsent(route, r -> new Outputs()).add(tokens);
    }

    /**
     * Returns the expected output of a request in tokens. The hint counts only between half of the
     * route's median and its 0.9 quantile. While too few requests of the route have ended, the
     * request is assumed to generate all that it may.
     *
     * @param hint number of tokens that the caller expects, or 0 if it names none
     * @param maxTokens maximum number of tokens to generate
     */
    public int expectedTokens(String route, int hint, int maxTokens) {
        Outputs outputs = mByRoute.get(route);
        if (outputs == null || outputs.mCount < MIN_OUTPUTS) {
            return maxTokens;
        }
        int median = outputs.quantile(0.5);
        int expected =
                hint <= 0
                        ? median
                        : Math.min(
                                Math.max(hint, (int) (MIN_HINT_SHARE * median)),
                                outputs.quantile(HIGH_QUANTILE));
        return Math.min(expected, maxTokens);
    }
}
