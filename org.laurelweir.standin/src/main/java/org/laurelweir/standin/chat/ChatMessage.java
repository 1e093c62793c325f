package org.laurelweir.standin.chat;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;

/**
 * One message of a chat.
 *
 * @param role system, user or assistant
 * @param content a string, or a list of parts of which those with a text count; may be null
 */
public record ChatMessage(String role, JsonNode content) {
    /** Returns a message whose content is a string. */
    public static ChatMessage of(String role, String text) {
        return new ChatMessage(role, TextNode.valueOf(text));
    }

    /** Returns the text of the content, concatenated over its parts; empty if there is none. */
    @JsonIgnore
    public String text() {
        if (content == null || content.isNull()) {
            return "";
        }
        if (!content.isArray()) {
            return content.asText();
        }
        StringBuilder all = new StringBuilder();
        content.forEach(part -> all.append(part.path("text").asText("")));
        return all.toString();
    }
}
