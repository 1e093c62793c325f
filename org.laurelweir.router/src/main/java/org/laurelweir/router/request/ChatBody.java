package org.laurelweir.router.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** The body of a chat-completions request, as far as routing needs it. */
final class ChatBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Bytes of text that make a token, by rule of thumb; sidecars refine the estimate. */
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
     * Reads a body.
     *
     * @throws LaurelweirException BAD_REQUEST where it is no such request
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
            throw bad("the body is not JSON");
        }
    }

    private void check() {
        if (!mRoot.path("model").isTextual()) {
            throw bad("model is missing or not a text");
        }
        if (!mMessages.isArray() || mMessages.isEmpty()) {
            throw bad("messages is missing or not a list with an element");
        }
        for (JsonNode m : mMessages) {
            if (!m.path("role").isTextual()) {
                throw bad("a message lacks its role");
            }
        }
        JsonNode stream = mRoot.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw bad("stream is neither true nor false");
        }
    }

    private static LaurelweirException bad(String message) {
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

    /** Returns a field that is a text, or empty. */
    String text(String field) {
        JsonNode value = mRoot.path(field);
        return value.isTextual() ? value.textValue() : "";
    }

    int promptTokens() {
        return Math.max(1, mBytes / BYTES_PER_TOKEN);
    }

    /**
     * Returns how many tokens the answer is expected to have: the caller's limit, if it sets one
     * below the service's usual length.
     *
     * @param usual for the service
     */
    int outputTokens(int usual) {
        int limit = limit("max_completion_tokens", limit("max_tokens", usual));
        return Math.min(usual, limit);
    }

    private int limit(String field, int otherwise) {
        JsonNode value = mRoot.path(field);
        return value.canConvertToInt() && value.intValue() > 0 ? value.intValue() : otherwise;
    }
}
