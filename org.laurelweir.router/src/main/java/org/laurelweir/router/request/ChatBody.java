package org.laurelweir.router.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** The fields of a chat-completions request's body that routing needs. */
final class ChatBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Rule of thumb for the bytes of text per token. Sidecars refine the estimate. */
    private static final int BYTES_PER_TOKEN = 4;

    private final JsonNode mRoot;
    private final JsonNode mMessages;
    private final int mBytes;

    private ChatBody(JsonNode root, int bytes) {
        mRoot = root;
        mMessages = root.path("messages");
        mBytes = bytes;
    }

    /**
     * Parses a body.
     *
     * @throws LaurelweirException BAD_REQUEST if it is not a chat-completions request
     */
    static ChatBody parse(byte[] bytes) {
        ChatBody body = new ChatBody(readTree(bytes), bytes.length);
        body.check();
        return body;
    }

    private static JsonNode readTree(byte[] bytes) {
        try {
            return JSON.readTree(bytes);
        } catch (IOException e) {
            throw badRequest("the body is not JSON");
        }
    }

    private void check() {
        if (!mRoot.path("model").isTextual()) {
            throw badRequest("model is missing or not a text");
        }
        if (!mMessages.isArray() || mMessages.isEmpty()) {
            throw badRequest("messages is missing or not a list with an element");
        }
        for (JsonNode m : mMessages) {
            if (!m.path("role").isTextual()) {
                throw badRequest("a message lacks its role");
            }
        }
        JsonNode stream = mRoot.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw badRequest("stream is neither true nor false");
        }
    }

    private static LaurelweirException badRequest(String message) {
        return new LaurelweirException(ResultCode.BAD_REQUEST, message);
    }

    String model() {
        return mRoot.path("model").textValue();
    }

    boolean isStreamed() {
        return mRoot.path("stream").asBoolean(false);
    }

    JsonNode messages() {
        return mMessages;
    }

    /** Returns the value of a string field, or an empty string for any other field. */
    String text(String field) {
        JsonNode value = mRoot.path(field);
        return value.isTextual() ? value.textValue() : "";
    }

    int promptTokens() {
        return Math.max(1, mBytes / BYTES_PER_TOKEN);
    }

    /**
     * Returns the expected number of tokens in the answer: the caller's limit or the service's
     * usual number, whichever is lower.
     *
     * @param usual the service's usual number of tokens
     */
    int outputTokens(int usual) {
        int limit = limit("max_completion_tokens", limit("max_tokens", usual));
        return Math.min(usual, limit);
    }

    private int limit(String field, int fallback) {
        JsonNode value = mRoot.path(field);
        return value.canConvertToInt() && value.intValue() > 0 ? value.intValue() : fallback;
    }
}
