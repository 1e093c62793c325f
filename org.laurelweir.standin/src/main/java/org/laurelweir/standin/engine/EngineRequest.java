package org.laurelweir.standin.engine;

/**
 * One request as the engine model sees it.
 *
 * @param id the engine's own id
 * @param blocks the prompt's tokens and blocks
 * @param outputTokens how many tokens the answer has
 * @param priority higher goes first into the batch
 */
public record EngineRequest(String id, PromptBlocks blocks, int outputTokens, int priority) {}
