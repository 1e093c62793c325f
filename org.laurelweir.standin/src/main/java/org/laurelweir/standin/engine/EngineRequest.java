package org.laurelweir.standin.engine;

/**
 * One request to the engine model.
 *
 * @param id the engine's own id
 * @param blocks the prompt's tokens and blocks
 * @param outputTokens the number of tokens of the answer
 * @param priority requests with a higher priority enter the batch first
 */
public record EngineRequest(String id, PromptBlocks blocks, int outputTokens, int priority) {}
