package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Decodes the requests of one connection, each part only when it is asked for. Used on one thread.
 *
 * <p>A decoder that makes an object of each line and chunk as it comes lets a client with few bytes
 * fill the memory. This one holds the bytes of an incomplete head and nothing else, tells what a
 * head will cost before it is parsed, and drops the framing of chunks and all trailers. The work
 * for each byte does not depend on what came before it.
 */
public final class RequestDecoder {
    private enum State {
        HEAD,
        BODY,
        CHUNKS,
        COMPLETE
    }

    private final HeadScanner mHead = new HeadScanner();
    private final ChunkScanner mChunks = new ChunkScanner();
    private final HeadParser mParser = new HeadParser();
    private ByteBuf mInput = Unpooled.EMPTY_BUFFER;

    /** Whether the input was copied, so that it takes no more memory than its bytes need. */
    private boolean mIsCopied;

    private State mState = State.HEAD;
    private long mRemainingBytes;

    /** Adds bytes that have arrived, and takes over their buffer. */
    public void add(ByteBuf bytes) {
        if (!mInput.isReadable()) {
            replaceInput(bytes, false);
            return;
        }
        compact();
        mInput.discardReadBytes();
        mInput.writeBytes(bytes);
        bytes.release();
    }

    private void replaceInput(ByteBuf input, boolean isCopied) {
        mInput.release();
        mInput = input;
        mIsCopied = isCopied;
    }

    /**
     * Copies what is left of the input, so that the buffer of a whole read is not held for a few
     * bytes. To be called when no part can be taken any more.
     */
    public void compact() {
        if (!mInput.isReadable()) {
            replaceInput(Unpooled.EMPTY_BUFFER, false);
        } else if (!mIsCopied) {
            replaceInput(Unpooled.buffer(mInput.readableBytes()).writeBytes(mInput), true);
        }
    }

    /** Returns the memory that the input takes, in bytes. */
    public int heldBytes() {
        return mInput.capacity();
    }

    /** Returns whether bytes have come that were not taken yet. */
    public boolean hasInput() {
        return mInput.isReadable();
    }

    /** Returns the number of bytes that have come and were not taken yet. */
    public int readableBytes() {
        return mInput.readableBytes();
    }

    /** Drops all input. */
    public void release() {
        replaceInput(Unpooled.EMPTY_BUFFER, false);
    }

    /**
     * Looks for the next request's head. Empty lines before it are dropped.
     *
     * @param maxBytes maximum size of the request line, and of all header lines together
     * @return whether the head is complete
     * @throws LaurelweirException HEADERS_TOO_LARGE as soon as it is known
     */
    public boolean findHead(int maxBytes) {
        return mHead.scan(mInput, maxBytes);
    }

    /** Returns the memory that the head takes once it is parsed, an estimate in bytes. */
    public int headMemory() {
        return mHead.memory();
    }

    /**
     * Parses the head that {@link #findHead} has found.
     *
     * @throws LaurelweirException BAD_REQUEST if it is malformed
     */
    public HttpRequest takeHead() {
        HttpRequest head = mParser.parse(mInput.readSlice(mHead.size()));
        mHead.reset();
        if (HttpUtil.isTransferEncodingChunked(head)) {
            mState = State.CHUNKS;
            mChunks.reset();
        } else {
            mRemainingBytes = HttpUtil.getContentLength(head, 0L);
            mState = mRemainingBytes == 0 ? State.COMPLETE : State.BODY;
        }
        return head;
    }

    /**
     * Returns the next bytes of the body, valid until the next call; none if no more have come.
     *
     * @param maxFramingBytes maximum size of a chunk's size with its extensions, and of all
     *     trailers
     * @throws LaurelweirException BAD_REQUEST or HEADERS_TOO_LARGE
     */
    public ByteBuf nextBody(int maxFramingBytes) {
        if (mState == State.CHUNKS) {
            ByteBuf body = mChunks.scan(mInput, maxFramingBytes);
            if (mChunks.isComplete()) {
                mState = State.COMPLETE;
            }
            return body;
        }
        int length = (int) Math.min(mRemainingBytes, mInput.readableBytes());
        mRemainingBytes -= length;
        if (mRemainingBytes == 0) {
            mState = State.COMPLETE;
        }
        return mInput.readSlice(length);
    }

    /** Returns whether the whole request was taken. */
    public boolean isComplete() {
        return mState == State.COMPLETE;
    }

    /** Begins the next request. The one before must be complete. */
    public void beginNext() {
        mState = State.HEAD;
    }

    /** Returns the exception for a head or trailers that are too large. */
    static LaurelweirException headersTooLarge() {
        return new LaurelweirException(
                ResultCode.HEADERS_TOO_LARGE, "the request's headers are too large");
    }

    /** Returns the exception for bytes that are not HTTP. */
    static LaurelweirException notHttp() {
        return new LaurelweirException(ResultCode.BAD_REQUEST, "not an HTTP request");
    }
}
