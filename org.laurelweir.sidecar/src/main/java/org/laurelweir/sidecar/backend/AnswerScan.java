package org.laurelweir.sidecar.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.laurelweir.attempt.Frame;

/**
 * Looks at the end of an answer's body as it passes: whether a stream of events ended in the mark
 * that says it is whole, and what usage a model engine reports. Both stand at the end.
 */
final class AnswerScan {
    /** Enough for the last events of a stream, and for an answer of a few thousand tokens. */
    private static final int TAIL_BYTES = 64 << 10;

    private static final String EVENT = "data:";
    private static final String DONE = "[DONE]";
    private static final String USAGE = "\"usage\"";
    private static final ObjectMapper JSON = new ObjectMapper();

    private byte[] mTail = new byte[0];
    private int mLength;

    /** Takes the next piece of the body. */
    void add(byte[] piece) {
        if (piece.length >= TAIL_BYTES) {
            mTail = Arrays.copyOfRange(piece, piece.length - TAIL_BYTES, piece.length);
            mLength = TAIL_BYTES;
            return;
        }
        makeRoom(piece.length);
        System.arraycopy(piece, 0, mTail, mLength, piece.length);
        mLength += piece.length;
    }

    private void makeRoom(int length) {
        int excess = mLength + length - TAIL_BYTES;
        if (excess > 0) {
            System.arraycopy(mTail, excess, mTail, 0, mLength - excess);
            mLength -= excess;
        }
        if (mLength + length > mTail.length) {
            int doubled = Math.max(mLength + length, mTail.length * 2);
            mTail = Arrays.copyOf(mTail, Math.min(TAIL_BYTES, doubled));
        }
    }

    /** Returns whether the last event so far is the mark of a whole stream. */
    boolean isStreamDone() {
        String tail = text().stripTrailing();
        int event = tail.lastIndexOf(EVENT);
        return event >= 0 && tail.substring(event + EVENT.length()).strip().equals(DONE);
    }

    /** Returns the usage that the answer reports, or none. */
    Frame.Usage usage() {
        String tail = text();
        int at = tail.lastIndexOf(USAGE);
        if (at < 0) {
            return Frame.Usage.NONE;
        }
        int open = tail.indexOf('{', at);
        if (open < 0) {
            return Frame.Usage.NONE;
        }
        try {
            // Reads the one object and leaves what follows.
            JsonNode usage = JSON.readTree(JSON.createParser(tail.substring(open)));
            return new Frame.Usage(
                    usage.path("prompt_tokens").asInt(),
                    usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
                    usage.path("completion_tokens").asInt());
        } catch (IOException e) {
            // Not a model engine's report after all: the text is the answer's own.
            return Frame.Usage.NONE;
        }
    }

    private String text() {
        return new String(mTail, 0, mLength, StandardCharsets.UTF_8);
    }
}
