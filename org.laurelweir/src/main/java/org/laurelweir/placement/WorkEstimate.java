package org.laurelweir.placement;

/**
 * The expected work of a request for its engine. Requests are not counted alike: a long document
 * that is read for the first time costs many times as much as a short query whose history is
 * cached.
 *
 * @param promptTokens tokens of the whole prompt, history included
 * @param cachedTokens tokens of the prompt that the engine has cached; 0 if unknown
 * @param outputTokens expected tokens of the answer
 */
public record WorkEstimate(int promptTokens, int cachedTokens, int outputTokens) {
    /** Rejects negative counts, and limits the cached tokens to the prompt's tokens. */
    public WorkEstimate {
        if (promptTokens < 0 || cachedTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
        cachedTokens = Math.min(cachedTokens, promptTokens);
    }

    /** Returns the prompt tokens that the engine has to compute. */
    public int uncachedTokens() {
        return promptTokens - cachedTokens;
    }

    /**
     * Returns the work.
     *
     * @param prefillWeight the cost of one uncached prompt token, relative to one output token
     * @return the work, in output tokens
     */
    public double units(double prefillWeight) {
        return uncachedTokens() * prefillWeight + outputTokens;
    }

    /** Returns the estimate for an engine that has {@code tokens} of the prompt cached. */
    public WorkEstimate withCached(int tokens) {
        return new WorkEstimate(promptTokens, tokens, outputTokens);
    }
}
