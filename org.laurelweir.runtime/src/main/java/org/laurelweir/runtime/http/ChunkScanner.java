package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import org.laurelweir.errors.LaurelweirException;

/**
 * Takes the framing out of a chunked body, with the chunks' extensions and the trailers, which
 * nobody needs. Makes no object for a chunk or a line.
 */
final class ChunkScanner {
    private static final int MAX_SIZE_DIGITS = 15;
    private static final int DIGIT_BITS = 4;
    private static final int HEXADECIMAL_RADIX = 16;

    private enum State {
        SIZE,
        EXTENSION,
        SIZE_END,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER_START,
        TRAILER,
        TRAILER_LF,
        LAST_LF,
        COMPLETE
    }

    private State mState = State.SIZE;
    private long mSize;
    private int mDigits;
    private int mFramingBytes;

    /** Prepares for the next body. */
    void reset() {
        mState = State.SIZE;
        beginSize();
    }

    private void beginSize() {
        mSize = 0;
        mDigits = 0;
        mFramingBytes = 0;
    }

    boolean isComplete() {
        return mState == State.COMPLETE;
    }

    /**
     * Takes what has come of a body.
     *
     * @param input is read as far as the body goes
     * @param maxFramingBytes maximum size of a chunk's size with its extensions, and of all
     *     trailers
     * @return the bytes of the body, valid as long as the input is not changed
     * @throws LaurelweirException BAD_REQUEST if a chunk is malformed, HEADERS_TOO_LARGE if its
     *     framing or the trailers are too large
     */
    ByteBuf scan(ByteBuf input, int maxFramingBytes) {
        int start = input.readerIndex();
        int end = start;
        while (input.isReadable() && mState != State.COMPLETE) {
            if (mState == State.DATA) {
                end = moveData(input, end);
            } else {
                onFraming(input.readByte(), maxFramingBytes);
            }
        }
        return input.slice(start, end - start);
    }

    /** Moves the data of a chunk to the end of what was found before it. */
    private int moveData(ByteBuf input, int end) {
        int length = (int) Math.min(mSize, input.readableBytes());
        if (length == 1) {
            input.setByte(end, input.readByte());
        } else {
            if (end != input.readerIndex()) {
                input.setBytes(end, input, input.readerIndex(), length);
            }
            input.skipBytes(length);
        }
        mSize -= length;
        if (mSize == 0) {
            mState = State.DATA_CR;
        }
        return end + length;
    }

    private void onFraming(byte b, int maxFramingBytes) {
        if (++mFramingBytes > maxFramingBytes) {
            throw RequestDecoder.headersTooLarge();
        }
        switch (mState) {
            case SIZE -> onSize(b);
            case EXTENSION -> mState = nextOfLine(b, State.SIZE_END, State.EXTENSION);
            case SIZE_END -> expect(b, '\n', mSize == 0 ? State.TRAILER_START : State.DATA);
            case DATA_CR -> expect(b, '\r', State.DATA_LF);
            case DATA_LF -> {
                expect(b, '\n', State.SIZE);
                beginSize();
            }
            case TRAILER_START -> mState = nextOfLine(b, State.LAST_LF, State.TRAILER);
            case TRAILER -> mState = nextOfLine(b, State.TRAILER_LF, State.TRAILER);
            case TRAILER_LF -> expect(b, '\n', State.TRAILER_START);
            case LAST_LF -> expect(b, '\n', State.COMPLETE);
            default -> throw new IllegalStateException(mState.name());
        }
    }

    private void onSize(byte b) {
        int digit = Character.digit(b, HEXADECIMAL_RADIX);
        if (digit >= 0) {
            if (++mDigits > MAX_SIZE_DIGITS) {
                throw RequestDecoder.notHttp();
            }
            mSize = mSize << DIGIT_BITS | digit;
            return;
        }
        boolean isEnd = b == '\r' || b == ';' || b == ' ' || b == '\t';
        if (mDigits == 0 || !isEnd) {
            throw RequestDecoder.notHttp();
        }
        mState = b == '\r' ? State.SIZE_END : State.EXTENSION;
    }

    /** Others may read a single line feed as the line's end, and find another request. */
    private static State nextOfLine(byte b, State afterCr, State within) {
        if (b == '\n') {
            throw RequestDecoder.notHttp();
        }
        return b == '\r' ? afterCr : within;
    }

    private void expect(byte b, char expected, State next) {
        if (b != expected) {
            throw RequestDecoder.notHttp();
        }
        mState = next;
    }
}
