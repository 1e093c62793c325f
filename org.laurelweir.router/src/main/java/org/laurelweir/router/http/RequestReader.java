package org.laurelweir.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Assembles one request from its parts. Refuses an invalid request as early as possible. */
final class RequestReader {
    private final long mMaxBodyBytes;
    private HttpRequest mHead;
    private ByteArrayOutputStream mBody;

    RequestReader(long maxBodyBytes) {
        mMaxBodyBytes = maxBodyBytes;
    }

    boolean isReading() {
        return mHead != null;
    }

    /**
     * Reads the request's head.
     *
     * @throws LaurelweirException if the head is invalid or announces too large a body
     */
    void onHead(HttpRequest head) {
        checkDecoded(head.decoderResult().cause());
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            // HTTP/1.0 may end a body by closing, so a truncated answer would look complete.
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "HTTP/1.1 is needed");
        }
        if (!head.headers().contains(HttpHeaderNames.HOST)) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "the Host header is missing");
        }
        if (HttpUtil.getContentLength(head, 0L) > mMaxBodyBytes) {
            throw tooLarge();
        }
        mHead = head;
        mBody = new ByteArrayOutputStream();
    }

    /**
     * Reads a piece of the body.
     *
     * @throws LaurelweirException if the body is too large or malformed
     */
    void onContent(HttpContent content) {
        checkDecoded(content.decoderResult().cause());
        ByteBuf bytes = content.content();
        if (mBody.size() + (long) bytes.readableBytes() > mMaxBodyBytes) {
            throw tooLarge();
        }
        try {
            bytes.readBytes(mBody, bytes.readableBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the complete request and resets the reader for the next one. */
    HttpCall finish() {
        HttpCall call =
                new HttpCall(
                        mHead.method().name(), mHead.uri(), mHead.headers(), mBody.toByteArray());
        mHead = null;
        mBody = null;
        return call;
    }

    private LaurelweirException tooLarge() {
        String message = "the request's body exceeds " + mMaxBodyBytes + " bytes";
        return new LaurelweirException(ResultCode.BODY_TOO_LARGE, message);
    }

    private static void checkDecoded(Throwable cause) {
        if (cause == null) {
            return;
        }
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            String message = "the request's headers are too large";
            throw new LaurelweirException(ResultCode.HEADERS_TOO_LARGE, message);
        }
        throw new LaurelweirException(ResultCode.BAD_REQUEST, "not an HTTP request");
    }
}
