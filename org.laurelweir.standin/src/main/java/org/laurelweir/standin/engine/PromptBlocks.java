package org.laurelweir.standin.engine;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.standin.chat.Prompt;

/**
 * The token blocks of a prompt and its answer. Each block's hash covers all blocks before it, so
 * equal hashes mean equal prefixes. A token is 4 bytes of text.
 *
 * @param promptTokens the tokens of the prompt alone
 * @param promptBlocks the number of hashes that are full blocks of the prompt alone
 * @param hashes a hash for each full block of the prompt with its answer
 */
public record PromptBlocks(int promptTokens, int promptBlocks, long[] hashes) {
    /** The number of tokens in a block. */
    public static final int BLOCK_TOKENS = 16;

    private static final int TOKEN_BYTES = 4;
    private static final int BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES;

    /**
     * Returns the blocks of a prompt.
     *
     * @param model the model or adapter; different models share no blocks
     * @param answer the text that will follow the prompt
     */
    public static PromptBlocks of(String model, Prompt prompt, String answer) {
        int length = prompt.text().getBytes(StandardCharsets.UTF_8).length;
        byte[] all = prompt.withAnswer(answer).getBytes(StandardCharsets.UTF_8);
        long[] hashes = new long[all.length / BLOCK_BYTES];
        long hash = LongHashFunction.xx().hashChars(model);
        for (int i = 0; i < hashes.length; i++) {
            hash = LongHashFunction.xx(hash).hashBytes(all, i * BLOCK_BYTES, BLOCK_BYTES);
            hashes[i] = hash;
        }
        int tokens = (length + TOKEN_BYTES - 1) / TOKEN_BYTES;
        return new PromptBlocks(tokens, length / BLOCK_BYTES, hashes);
    }
}
