package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A patch that turns a base text into another text. The texts are compared in chunks, each of which
 * ends at the end of an object or line. Equal chunks are found at any offset, in time proportional
 * to the length of the texts; the patch is not always the shortest one.
 *
 * @param pieces the pieces whose concatenation is the text
 */
public record TextPatch(List<Piece> pieces) {
    /** The characters that end a chunk: settings documents are lists of objects or of lines. */
    private static final String CHUNK_END_CHARS = "}\n";

    /** A reference to a shorter chunk would take more bytes than the chunk itself. */
    private static final int MIN_CHUNK_CHARS = 24;

    /**
     * A part of the text: a range of the base text, followed by literal text.
     *
     * @param offset the range's offset in the base text, in characters
     * @param length the range's length in characters; may be 0
     * @param literal the literal text; may be empty
     */
    public record Piece(int offset, int length, String literal) {}

    /** Copies the list. */
    public TextPatch {
        pieces = List.copyOf(pieces);
    }

    /**
     * Returns the patch that turns one text into another.
     *
     * @param base the base text
     * @param text the text that the patch produces
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
            boolean isEnd = CHUNK_END_CHARS.indexOf(text.charAt(i)) >= 0;
            if (isEnd && i + 1 - start >= MIN_CHUNK_CHARS) {
                chunks.add(text.substring(start, i + 1));
                start = i + 1;
            }
        }
        chunks.add(text.substring(start));
        return chunks;
    }

    /**
     * Returns the patched text.
     *
     * @param base the base text from which the patch was made
     * @throws IndexOutOfBoundsException if a range exceeds the base text, as it is a shorter one
     */
    public String applyTo(String base) {
        StringBuilder text = new StringBuilder();
        for (Piece p : pieces) {
            text.append(base, p.offset(), p.offset() + p.length()).append(p.literal());
        }
        return text.toString();
    }

    /** Builds the pieces; a chunk that follows the previous piece in the base text extends it. */
    private static final class Builder {
        private final String mBase;
        private final List<Piece> mPieces = new ArrayList<>();
        private final StringBuilder mLiteral = new StringBuilder();
        private int mOffset;
        private int mLength;

        Builder(String base) {
            mBase = base;
        }

        /** Adds a chunk with its offset in the base text; null if the base does not contain it. */
        void add(String chunk, Integer offset) {
            boolean extendsPiece = mLength > 0 && mBase.startsWith(chunk, mOffset + mLength);
            if (extendsPiece && mLiteral.isEmpty()) {
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
