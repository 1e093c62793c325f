package org.laurelweir.direct;

import java.util.List;
import org.laurelweir.placement.ChatKey;

/**
 * What a caller tells of a prompt, so that its parts can be found where they are cached.
 *
 * @param parts the parts of the prompt in their order; the last one is the request's or chat's own
 * @param inputTokens tokens of the whole prompt
 * @param outputTokens most tokens that may be generated
 */
public record Prompt(List<Part> parts, int inputTokens, int outputTokens) {
    /** No prompt: the request is not for a model engine. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    /**
     * A part that prompts may share.
     *
     * @param id the same for the same text
     * @param tokens its length
     */
    public record Part(long id, int tokens) {}

    /** Copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns whether there is one. */
    public boolean isPresent() {
        return !parts.isEmpty();
    }

    /** Returns the key by which all routers rank backend servers for the prompt. */
    ChatKey key() {
        return new ChatKey(mix(sharedPart().id()));
    }

    /** Part ids may be small or close to each other; ranks need them spread. */
    private static long mix(long id) {
        long x = id * 0x9E3779B97F4A7C15L;
        x ^= x >>> 32;
        return x * 0xD6E8FEB86659FD93L;
    }

    /** Returns the tokens of all parts that other prompts may share. */
    public int sharedTokens() {
        return parts.stream().limit(Math.max(1, parts.size() - 1)).mapToInt(Part::tokens).sum();
    }

    /**
     * Returns the part by which the prompt finds its engine: the last one that other prompts may
     * share, or the only one.
     */
    public Part sharedPart() {
        return parts.get(Math.max(0, parts.size() - 2));
    }
}
