package org.laurelweir.runtime.answer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads one chunked body (RFC 9112, 7.1). Checks chunk extensions and trailers, and drops them. */
final class Chunks {
    private static final int MAX_SIZE_LINE_BYTES = 16 << 10;

    /** The size, which must not exceed the range of a long, and extensions. */
    private static final Pattern SIZE_LINE =
            Pattern.compile("0*([0-9A-Fa-f]{1,15})[ \t]*(?:;.*)?", Pattern.DOTALL);

    private static final int HEXADECIMAL_RADIX = 16;

    private enum State {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS,
        COMPLETE
    }

    private final LineReader mLines = new LineReader();
    private final FieldLines mTrailers = new FieldLines(mLines);
    private State mState = State.SIZE;
    private long mRemainingBytes;

    boolean isComplete() {
        return mState == State.COMPLETE;
    }

    /**
     * Reads what has come of the body, up to the end of a chunk.
     *
     * @return the next bytes of the body, retained; empty if more of the framing is needed
     * @throws MalformedAnswerException if the framing is malformed
     */
    ByteBuf read(ByteBuf input) {
        if (mState == State.DATA) {
            return readData(input);
        }
        if (mState == State.TRAILERS) {
            mState = mTrailers.read(input) ? State.COMPLETE : State.TRAILERS;
            return Unpooled.EMPTY_BUFFER;
        }
        String line = mLines.read(input, MAX_SIZE_LINE_BYTES);
        if (line != null && mState == State.SIZE) {
            mRemainingBytes = size(line);
            mState = mRemainingBytes == 0 ? State.TRAILERS : State.DATA;
        } else if (line != null) {
            checkDataEnd(line);
            mState = State.SIZE;
        }
        return Unpooled.EMPTY_BUFFER;
    }

    private ByteBuf readData(ByteBuf input) {
        int length = (int) Math.min(mRemainingBytes, input.readableBytes());
        mRemainingBytes -= length;
        if (mRemainingBytes == 0) {
            mState = State.DATA_END;
        }
        return input.readRetainedSlice(length);
    }

    private static void checkDataEnd(String line) {
        if (!line.isEmpty()) {
            throw new MalformedAnswerException("a chunk is longer than its size");
        }
    }

    private static long size(String line) {
        FieldSyntax.checkText(line);
        Matcher size = SIZE_LINE.matcher(line);
        if (!size.matches()) {
            throw new MalformedAnswerException("the size of a chunk is no number");
        }
        return Long.parseLong(size.group(1), HEXADECIMAL_RADIX);
    }
}
