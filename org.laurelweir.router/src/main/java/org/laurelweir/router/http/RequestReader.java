package org.laurelweir.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.http.BodyBuffer;

/** Assembles one request from its parts. Refuses an invalid request as early as possible. */
final class RequestReader {
    private long mMaxBodyBytes;
    private HttpRequest mHead;
    private BodyBuffer mBody;
    private long mAnnouncedBytes;

    boolean isReading() {
        return mHead != null;
    }

    /**
     * Reads the request's head.
     *
     * @param limits the limits in force, which hold for the whole request
     * @throws LaurelweirException if the head is invalid, or announces too large a body
     */
    void onHead(HttpRequest head, Limits limits) {
        mMaxBodyBytes = limits.bodyBytes();
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            // HTTP/1.0 may end a body by closing, so a truncated answer would look complete.
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "HTTP/1.1 is needed");
        }
        if (!head.headers().contains(HttpHeaderNames.HOST)) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "the Host header is missing");
        }
        mAnnouncedBytes = HttpUtil.getContentLength(head, 0L);
        if (mAnnouncedBytes > mMaxBodyBytes) {
            throw tooLarge();
        }
        mHead = head;
        mBody = new BodyBuffer((int) mAnnouncedBytes);
    }

    /** Returns a header's first value, or an empty string if it is missing or no head was read. */
    String header(String name) {
        return mHead == null ? "" : mHead.headers().get(name, "");
    }

    /** Returns whether the caller waits for leave to send the body. */
    boolean isContinueExpected() {
        return mHead != null && HttpUtil.is100ContinueExpected(mHead);
    }

    /** Returns the size of the body that the head announces, or 0 if it announces none. */
    long announcedBytes() {
        return mAnnouncedBytes;
    }

    /** Returns the memory that the body needs with a further piece, in bytes. */
    long neededBytes(int pieceBytes) {
        return mBody.memoryFor(mBody.size() + (long) pieceBytes, mMaxBodyBytes);
    }

    /**
     * Reads a piece of the body.
     *
     * @throws LaurelweirException if the body is too large
     */
    void onContent(ByteBuf bytes) {
        if (mBody.size() + (long) bytes.readableBytes() > mMaxBodyBytes) {
            throw tooLarge();
        }
        mBody.add(bytes);
    }

    /** Returns the complete request and resets the reader for the next one. */
    HttpCall finish() {
        HttpCall call =
                new HttpCall(mHead.method().name(), mHead.uri(), mHead.headers(), mBody.toBytes());
        reset();
        return call;
    }

    /** Drops what was read of a request. */
    void reset() {
        mHead = null;
        mBody = null;
    }

    private LaurelweirException tooLarge() {
        String message = "the request's body exceeds " + mMaxBodyBytes + " bytes";
        return new LaurelweirException(ResultCode.BODY_TOO_LARGE, message);
    }
}
