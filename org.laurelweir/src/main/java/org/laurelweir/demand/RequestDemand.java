package org.laurelweir.demand;

/**
 * What a request demands of an engine.
 *
 * @param sharedTokens tokens of the prompt's parts that other prompts may share
 * @param ownTokens tokens of the rest of the prompt
 * @param outputTokens number of tokens that the engine is expected to generate
 */
public record RequestDemand(int sharedTokens, int ownTokens, int outputTokens) {
    /** The demand of a request without a prompt. */
    public static final RequestDemand NONE = new RequestDemand(0, 0, 0);
}
