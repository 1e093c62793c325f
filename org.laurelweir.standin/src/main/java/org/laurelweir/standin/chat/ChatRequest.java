package org.laurelweir.standin.chat;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** The fields of a chat-completions call that a stand-in reads; null for an absent field. */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ChatRequest(
        String model,
        List<ChatMessage> messages,
        Boolean stream,
        @JsonProperty("stream_options") StreamOptions streamOptions,
        @JsonProperty("max_tokens") Integer maxTokens,
        @JsonProperty("max_completion_tokens") Integer maxCompletionTokens,
        Integer priority) {

    /** Options of a streamed answer. */
    public record StreamOptions(@JsonProperty("include_usage") boolean includeUsage) {}

    /** Returns whether the answer is to be streamed. */
    public boolean isStreamed() {
        return Boolean.TRUE.equals(stream);
    }

    /** Returns whether a streamed answer ends with its usage. */
    public boolean wantsUsage() {
        return streamOptions != null && streamOptions.includeUsage();
    }

    /** Returns the limit of output tokens, which has two names; null if there is none. */
    public Integer outputLimit() {
        return maxCompletionTokens != null ? maxCompletionTokens : maxTokens;
    }
}
