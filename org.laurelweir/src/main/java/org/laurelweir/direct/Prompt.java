package org.laurelweir.direct;

import java.util.List;
import org.laurelweir.placement.ChatKey;

/**
 * The caller's description of a prompt, by which the router finds the engines that cache its parts.
 *
 * @param parts the parts of the prompt in order; the last one belongs to this request or chat alone
 * @param inputTokens number of tokens of the whole prompt
 * @param outputTokens maximum number of tokens to generate
 */
public record Prompt(List<Part> parts, int inputTokens, int outputTokens) {
    /** The absence of a prompt, in requests that are not for a model engine. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0);

    /**
     * A part of a prompt, which other prompts may share.
     *
     * @param id identifies the text of the part; equal for equal texts
     * @param tokens length of the part in tokens
     */
    public record Part(long id, int tokens) {}

    /** Creates a prompt with an immutable copy of the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns whether the request has a prompt. */
    public boolean isPresent() {
        return !parts.isEmpty();
    }

    /** Returns the key by which all routers rank the backend servers for the prompt. */
    ChatKey key() {
        return new ChatKey(mix(sharedPart().id()));
    }

    /** Returns a digest of a request and of the parts of its prompt, in their order. */
    long addTo(long requestDigest) {
        long digest = requestDigest;
        for (Part p : parts) {
            digest = mix(digest + p.id());
        }
        return digest;
    }

    /** Spreads part ids over 64 bits, because they may be small or close to each other. */
    private static long mix(long id) {
        long x = id * 0x9E3779B97F4A7C15L;
        x ^= x >>> 32;
        return x * 0xD6E8FEB86659FD93L;
    }

    /**
     * Returns the number of tokens of the parts that other prompts may share: all but the last, or
     * the only one.
     */
    public int sharedTokens() {
        return parts.stream().limit(Math.max(1, parts.size() - 1)).mapToInt(Part::tokens).sum();
    }

    /**
     * Returns the ids of the parts that other prompts may share, each once and in order: all but
     * the last.
     */
    List<Long> sharedIds() {
        int count = Math.max(0, parts.size() - 1);
        return parts.stream().limit(count).map(Part::id).distinct().toList();
    }

    /**
     * Returns the part that determines the engine for the prompt: the last one that other prompts
     * may share, or the only one.
     */
    public Part sharedPart() {
        return parts.get(Math.max(0, parts.size() - 2));
    }
}
