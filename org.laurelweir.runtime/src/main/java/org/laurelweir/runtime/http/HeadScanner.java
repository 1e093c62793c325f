package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import org.laurelweir.errors.LaurelweirException;

/**
 * Finds the end of a request's head, looking at each byte once. Folded lines are unfolded on the
 * way: joined one after the other, they would cost the square of their number.
 */
final class HeadScanner {
    /**
     * What a header takes in memory beside its bytes: its name and value, and the entries that hold
     * them in the request of the client and in the one to a backend server.
     */
    private static final int LINE_MEMORY = 256;

    /** How often the bytes of a head are held at the same time: as they came, and as texts. */
    private static final int BYTES_FACTOR = 3;

    private int mScannedBytes;
    private int mLineStart;
    private int mFirstLineBytes;
    private int mHeaderBytes;
    private int mLineCount;
    private int mEmptyLineBytes;
    private boolean mIsComplete;

    /**
     * Scans what has come of a head.
     *
     * @param input begins with the head, or with empty lines before it, which are dropped
     * @param maxBytes maximum size of the first line, and of all header lines together
     * @return whether the head is complete
     * @throws LaurelweirException HEADERS_TOO_LARGE or BAD_REQUEST as soon as it is known
     */
    boolean scan(ByteBuf input, int maxBytes) {
        if (mScannedBytes == 0) {
            dropEmptyLines(input, maxBytes);
        }
        while (!mIsComplete && mScannedBytes < input.readableBytes()) {
            int from = input.readerIndex() + mScannedBytes;
            int end = input.forEachByte(from, input.writerIndex() - from, ByteProcessor.FIND_LF);
            if (end < 0) {
                mScannedBytes = input.readableBytes();
            } else {
                mScannedBytes = end + 1 - input.readerIndex();
                onLine(input, mScannedBytes - mLineStart);
            }
            checkSize(maxBytes);
        }
        return mIsComplete;
    }

    private void dropEmptyLines(ByteBuf input, int maxBytes) {
        int start =
                input.forEachByte(
                        input.readerIndex(), input.readableBytes(), ByteProcessor.FIND_NON_CRLF);
        int dropped = start < 0 ? input.readableBytes() : start - input.readerIndex();
        input.skipBytes(dropped);
        mEmptyLineBytes += dropped;
        if (mEmptyLineBytes > maxBytes) {
            throw RequestDecoder.headersTooLarge();
        }
    }

    private void onLine(ByteBuf input, int length) {
        int start = input.readerIndex() + mLineStart;
        mLineStart = mScannedBytes;
        if (mFirstLineBytes == 0) {
            mFirstLineBytes = length;
            return;
        }
        byte first = input.getByte(start);
        if (first == '\n' || first == '\r' && length == 2) {
            mIsComplete = true;
            return;
        }
        mHeaderBytes += length;
        if (first == ' ' || first == '\t') {
            unfold(input, start);
        } else {
            mLineCount++;
        }
    }

    /** Replaces the end of the line before a folded line by spaces. */
    private void unfold(ByteBuf input, int start) {
        if (mLineCount == 0) {
            throw RequestDecoder.notHttp();
        }
        input.setByte(start - 1, ' ');
        if (input.getByte(start - 2) == '\r') {
            input.setByte(start - 2, ' ');
        }
    }

    private void checkSize(int maxBytes) {
        int unfinishedBytes = mScannedBytes - mLineStart;
        if (unfinishedBytes == 1) {
            // It may be the first byte of the empty line that ends the head.
            unfinishedBytes = 0;
        }
        int bytes = mFirstLineBytes == 0 ? unfinishedBytes : mHeaderBytes + unfinishedBytes;
        if (mFirstLineBytes > maxBytes || bytes > maxBytes) {
            throw RequestDecoder.headersTooLarge();
        }
    }

    /** Returns the size of the whole head in bytes. It must be complete. */
    int size() {
        return mScannedBytes;
    }

    /** Returns the memory that the head takes once it is parsed, an estimate in bytes. */
    int memory() {
        return mLineCount * LINE_MEMORY + mScannedBytes * BYTES_FACTOR;
    }

    /** Prepares for the next head. */
    void reset() {
        mScannedBytes = 0;
        mLineStart = 0;
        mFirstLineBytes = 0;
        mHeaderBytes = 0;
        mLineCount = 0;
        mEmptyLineBytes = 0;
        mIsComplete = false;
    }
}
