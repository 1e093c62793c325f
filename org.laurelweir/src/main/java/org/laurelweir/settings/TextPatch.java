package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A text as what it has in common with another one, and the rest of it. Texts are compared in
 * chunks, each up to the end of an object or line: what is equal is found wherever it stands, at a
 * cost in proportion to the texts, and the patch is not always the shortest.
 *
 * @param pieces put together in their order they are the text
 */
public record TextPatch(List<Piece> pieces) {
    /** What ends a chunk: documents of settings are lists of objects, or of lines. */
    private static final String CHUNK_ENDS = "}\n";

    /** Shorter chunks cost more to name than to repeat. */
    private static final int LEAST_CHUNK = 24;

    /**
     * A part of the text: what stands in the other one, then what doesn't.
     *
     * @param offset where the first begins in the other text
     * @param length how long it is there, in characters; may be 0
     * @param literal the rest; may be empty
     */
    public record Piece(int offset, int length, String literal) {}

    /** Copies the list. */
    public TextPatch {
        pieces = List.copyOf(pieces);
    }

    /**
     * Returns the patch that makes a text of another one.
     *
     * @param base the other text
     * @param text the text
     */
    public static TextPatch between(String base, String text) {
        Map<String, Integer> offsets = new HashMap<>();
        int offset = 0;
        for (String chunk : chunksOf(base)) {
            offsets.putIfAbsent(chunk, offset);
            offset += chunk.length();
        }
        Builder builder = new Builder(base);
        for (String chunk : chunksOf(text)) {
            builder.add(chunk, offsets.get(chunk));
        }
        return builder.build();
    }

    private static List<String> chunksOf(String text) {
        List<String> chunks = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < text.length(); i++) {
            boolean ends = CHUNK_ENDS.indexOf(text.charAt(i)) >= 0;
            if (ends && i + 1 - start >= LEAST_CHUNK) {
                chunks.add(text.substring(start, i + 1));
                start = i + 1;
            }
        }
        chunks.add(text.substring(start));
        return chunks;
    }

    /**
     * Returns the text.
     *
     * @param base the other text, just as it was when the patch was made
     * @throws IndexOutOfBoundsException if it is another one, too short
     */
    public String applyTo(String base) {
        StringBuilder text = new StringBuilder();
        for (Piece p : pieces) {
            text.append(base, p.offset(), p.offset() + p.length()).append(p.literal());
        }
        return text.toString();
    }

    /** Puts pieces together; what follows on the piece before becomes one with it. */
    private static final class Builder {
        private final String mBase;
        private final List<Piece> mPieces = new ArrayList<>();
        private final StringBuilder mLiteral = new StringBuilder();
        private int mOffset;
        private int mLength;

        Builder(String base) {
            mBase = base;
        }

        /** Adds a chunk that stands at an offset of the base, or nowhere there if it is null. */
        void add(String chunk, Integer offset) {
            boolean goesOn = mLength > 0 && mBase.startsWith(chunk, mOffset + mLength);
            if (goesOn && mLiteral.isEmpty()) {
                mLength += chunk.length();
            } else if (offset == null) {
                mLiteral.append(chunk);
            } else {
                flush();
                mOffset = offset;
                mLength = chunk.length();
            }
        }

        private void flush() {
            if (mLength > 0 || !mLiteral.isEmpty()) {
                mPieces.add(new Piece(mLength > 0 ? mOffset : 0, mLength, mLiteral.toString()));
            }
            mLength = 0;
            mLiteral.setLength(0);
        }

        TextPatch build() {
            flush();
            return new TextPatch(mPieces);
        }
    }
}
