package org.laurelweir.placement;

/**
 * What a request is expected to cost its engine. Requests are not counted alike: a dossier read
 * afresh costs many times a short query whose history is cached.
 *
 * @param promptTokens tokens of the whole prompt, the history among them
 * @param cachedTokens how many of them the engine has cached; 0 where that is not known
 * @param outputTokens tokens that the answer is expected to have
 */
public record WorkEstimate(int promptTokens, int cachedTokens, int outputTokens) {
    /** Checks that no part is negative and that no more is cached than asked for. */
    public WorkEstimate {
        if (promptTokens < 0 || cachedTokens < 0 || outputTokens < 0) {
            throw new IllegalArgumentException("negative tokens");
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
     * @param prefillWeight the cost of one uncached prompt token against one output token's
     * @return the work, in output tokens
     */
    public double units(double prefillWeight) {
        return uncachedTokens() * prefillWeight + outputTokens;
    }

    /** Returns the estimate at an engine that has {@code tokens} of the prompt cached. */
    public WorkEstimate withCached(int tokens) {
        return new WorkEstimate(promptTokens, tokens, outputTokens);
    }
}
