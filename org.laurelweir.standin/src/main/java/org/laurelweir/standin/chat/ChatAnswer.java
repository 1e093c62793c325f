package org.laurelweir.standin.chat;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A chat-completions answer, or one chunk of a streamed answer.
 *
 * @param id the engine's id of the request
 * @param object {@link #WHOLE} or {@link #CHUNK}
 * @param created seconds since 1970
 * @param usage null in chunks other than the last
 */
public record ChatAnswer(
        String id,
        String object,
        long created,
        String model,
        List<Choice> choices,
        @JsonInclude(JsonInclude.Include.NON_NULL) Usage usage) {

    /** The object name of a whole answer. */
    public static final String WHOLE = "chat.completion";

    /** The object name of a chunk. */
    public static final String CHUNK = "chat.completion.chunk";

    /** One alternative answer; a stand-in gives exactly one. */
    public record Choice(
            int index,
            @JsonInclude(JsonInclude.Include.NON_NULL) Text message,
            @JsonInclude(JsonInclude.Include.NON_NULL) Text delta,
            @JsonProperty("finish_reason") String finishReason) {}

    /** A message, or the text that a chunk adds to one. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Text(String role, String content) {}

    /** The tokens of the prompt and of the answer. */
    public record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens,
            @JsonProperty("prompt_tokens_details") Details promptTokensDetails) {}

    /** The number of prompt tokens found in the prefix cache. */
    public record Details(@JsonProperty("cached_tokens") int cachedTokens) {}

    /** Returns the usage of an answer from its token counts. */
    public static Usage usage(int prompt, int cached, int output) {
        return new Usage(prompt, output, prompt + output, new Details(cached));
    }
}
