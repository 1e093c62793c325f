package org.laurelweir.sidecar.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.laurelweir.attempt.Frame;

/**
 * Keeps the last bytes of an answer's body. A stream of events ends with a marker if it is
 * complete, and a model engine reports token usage near the end; both are read from these bytes.
 */
final class AnswerTail {
    /** Holds the last events of a stream, or a whole answer of a few thousand tokens. */
    private static final int MAX_TAIL_BYTES = 64 << 10;

    /** Far above any prompt or answer, and small enough to be added up. */
    private static final int MAX_TOKENS = 1_000_000_000;

    private static final String DATA_PREFIX = "data:";
    private static final String DONE_MARKER = "[DONE]";
    private static final String USAGE_KEY = "\"usage\"";
    private static final ObjectMapper JSON = new ObjectMapper();

    private byte[] mBuffer = new byte[0];
    private int mLength;

    /** Appends the next bytes of the body, and drops the oldest above the limit. */
    void add(byte[] bytes) {
        if (bytes.length >= MAX_TAIL_BYTES) {
            mBuffer = Arrays.copyOfRange(bytes, bytes.length - MAX_TAIL_BYTES, bytes.length);
            mLength = MAX_TAIL_BYTES;
            return;
        }
        ensureRoom(bytes.length);
        System.arraycopy(bytes, 0, mBuffer, mLength, bytes.length);
        mLength += bytes.length;
    }

    private void ensureRoom(int length) {
        int excess = mLength + length - MAX_TAIL_BYTES;
        if (excess > 0) {
            System.arraycopy(mBuffer, excess, mBuffer, 0, mLength - excess);
            mLength -= excess;
        }
        if (mLength + length > mBuffer.length) {
            int doubled = Math.max(mLength + length, mBuffer.length * 2);
            mBuffer = Arrays.copyOf(mBuffer, Math.min(MAX_TAIL_BYTES, doubled));
        }
    }

    /** Returns whether the last event so far is the marker of a complete stream. */
    boolean isStreamDone() {
        String tail = text().stripTrailing();
        int event = tail.lastIndexOf(DATA_PREFIX);
        return event >= 0
                && tail.substring(event + DATA_PREFIX.length()).strip().equals(DONE_MARKER);
    }

    /** Returns the token usage that the answer reports, or {@link Frame.Usage#NONE}. */
    Frame.Usage usage() {
        String tail = text();
        int key = tail.lastIndexOf(USAGE_KEY);
        if (key < 0) {
            return Frame.Usage.NONE;
        }
        int open = tail.indexOf('{', key);
        if (open < 0) {
            return Frame.Usage.NONE;
        }
        try {
            // The parser reads one object and ignores the text after it.
            JsonNode usage = JSON.readTree(JSON.createParser(tail.substring(open)));
            JsonNode prompt = usage.path("prompt_tokens");
            JsonNode cached = usage.path("prompt_tokens_details").path("cached_tokens");
            JsonNode completion = usage.path("completion_tokens");
            if (!isCount(prompt) || !isCount(cached) || !isCount(completion)) {
                return Frame.Usage.NONE;
            }
            return new Frame.Usage(prompt.asInt(), cached.asInt(), completion.asInt());
        } catch (IOException e) {
            // The key was part of the answer's own text, not a model engine's usage report.
            return Frame.Usage.NONE;
        }
    }

    /** Returns whether a node is missing, or a number of tokens. */
    private static boolean isCount(JsonNode node) {
        if (node.isMissingNode() || node.isNull()) {
            return true;
        }
        return node.canConvertToInt() && node.asInt() >= 0 && node.asInt() <= MAX_TOKENS;
    }

    private String text() {
        return new String(mBuffer, 0, mLength, StandardCharsets.UTF_8);
    }
}
