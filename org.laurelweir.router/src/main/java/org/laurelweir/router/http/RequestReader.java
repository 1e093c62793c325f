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

/** Collects one request from its parts and refuses it as soon as it is seen to be a bad one. */
final class RequestReader {
    private final long mMaxBody;
    private HttpRequest mHead;
    private ByteArrayOutputStream mBody;

    RequestReader(long maxBody) {
        mMaxBody = maxBody;
    }

    boolean isReading() {
        return mHead != null;
    }

    /**
     * Takes the request's head.
     *
     * @throws LaurelweirException where the request can't be served whatever follows
     */
    void onHead(HttpRequest head) {
        checkDecoded(head.decoderResult().cause());
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            // Earlier versions end a body by closing: a cut answer would look like a whole one.
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "HTTP/1.1 is needed");
        }
        if (!head.headers().contains(HttpHeaderNames.HOST)) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "the Host header is missing");
        }
        if (HttpUtil.getContentLength(head, 0L) > mMaxBody) {
            throw tooLarge();
        }
        mHead = head;
        mBody = new ByteArrayOutputStream();
    }

    /**
     * Takes a piece of the body.
     *
     * @throws LaurelweirException where the body is too large or breaks off
     */
    void onContent(HttpContent content) {
        checkDecoded(content.decoderResult().cause());
        ByteBuf bytes = content.content();
        if (mBody.size() + (long) bytes.readableBytes() > mMaxBody) {
            throw tooLarge();
        }
        try {
            bytes.readBytes(mBody, bytes.readableBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the whole request and makes room for the next. */
    HttpCall finish() {
        HttpCall call =
                new HttpCall(
                        mHead.method().name(), mHead.uri(), mHead.headers(), mBody.toByteArray());
        mHead = null;
        mBody = null;
        return call;
    }

    private LaurelweirException tooLarge() {
        String message = "the request's body exceeds " + mMaxBody + " bytes";
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
