package org.laurelweir.standin.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.laurelweir.standin.Json;

/** One HTTP call and its answer. Confined to the server's event loop thread. */
public final class HttpExchange {
    private static final String JSON = "application/json";

    private final Channel mChannel;
    private final Runnable mOnEnd;
    private final String mMethod;
    private final QueryStringDecoder mUri;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final boolean mKeepAlive;
    private final HttpHeaders mAnswerHeaders;
    private Runnable mOnClose = () -> {};
    private boolean mEndsWithConnection;
    private boolean mHeadSent;
    private boolean mEnded;

    HttpExchange(Channel channel, FullHttpRequest request, Runnable done) {
        mChannel = channel;
        mOnEnd = done;
        mMethod = request.method().name();
        mUri = new QueryStringDecoder(request.uri());
        mHeaders = request.headers();
        mBody = bytes(request.content());
        mKeepAlive = HttpUtil.isKeepAlive(request);
        mAnswerHeaders =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK).headers();
    }

    /** Returns the HTTP method, in upper case. */
    public String method() {
        return mMethod;
    }

    /** Returns the decoded path without the query. */
    public String path() {
        return mUri.path();
    }

    /** Returns the body, empty if there is none. */
    public byte[] body() {
        return mBody;
    }

    /** Returns the first value of a request header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mHeaders.get(name));
    }

    /** Returns the first value of a query parameter. */
    public Optional<String> query(String name) {
        List<String> values = mUri.parameters().getOrDefault(name, List.of());
        return values.stream().findFirst();
    }

    /** Returns whether the answer has not ended and the connection is open. */
    public boolean isOpen() {
        return !mEnded;
    }

    /** Sets a header of the answer; has an effect only before the answer begins. */
    public void setHeader(String name, String value) {
        mAnswerHeaders.set(name, value);
    }

    /**
     * Leaves out the answer's length and chunks, so that only the end of the connection ends it.
     */
    public void endWithConnection() {
        mEndsWithConnection = true;
    }

    /** Returns whether only the end of the connection ends the answer. */
    public boolean endsWithConnection() {
        return mEndsWithConnection;
    }

    /** Sets the action to run if the caller closes the connection before the answer has ended. */
    public void onClose(Runnable action) {
        mOnClose = action;
    }

    /** Answers with a value as JSON. */
    public void respond(int status, Object value) {
        respond(status, JSON, Json.write(value).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Answers with a body of known length. Does nothing if the answer has begun or the connection
     * is closed.
     */
    public void respond(int status, String contentType, byte[] body) {
        if (mHeadSent || mEnded) {
            return;
        }
        mHeadSent = true;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(mAnswerHeaders).set(HttpHeaderNames.CONTENT_TYPE, contentType);
        frame(response, () -> HttpUtil.setContentLength(response, body.length));
        HttpUtil.setKeepAlive(response, keepsAlive());
        mChannel.writeAndFlush(response);
        end();
    }

    /**
     * Sends the head of a chunked answer with status 200. Does nothing if the answer has begun or
     * the connection is closed.
     */
    public void begin(String contentType) {
        if (mHeadSent || mEnded) {
            return;
        }
        mHeadSent = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(mAnswerHeaders).set(HttpHeaderNames.CONTENT_TYPE, contentType);
        frame(response, () -> HttpUtil.setTransferEncodingChunked(response, true));
        HttpUtil.setKeepAlive(response, keepsAlive());
        mChannel.writeAndFlush(response);
    }

    /** Sets the framing of an answer, unless its connection ends it. */
    private void frame(HttpResponse response, Runnable framing) {
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (!mEndsWithConnection) {
            framing.run();
        }
    }

    private boolean keepsAlive() {
        return mKeepAlive && !mEndsWithConnection;
    }

    /** Sends a chunk of an answer that has begun. Does nothing once the answer has ended. */
    public void send(String part) {
        if (mEnded) {
            return;
        }
        ByteBuf content = Unpooled.copiedBuffer(part, StandardCharsets.UTF_8);
        mChannel.writeAndFlush(new DefaultHttpContent(content));
    }

    /** Ends a chunked answer. */
    public void finish() {
        if (mEnded) {
            return;
        }
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        end();
    }

    /**
     * Sends the head and the first bytes of a body of known length, then closes the connection, so
     * that the caller receives a truncated answer.
     *
     * @param after the number of body bytes to send; at least the last byte is always left out
     */
    public void cut(int status, String contentType, byte[] body, int after) {
        if (mHeadSent || mEnded) {
            return;
        }
        mHeadSent = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(mAnswerHeaders).set(HttpHeaderNames.CONTENT_TYPE, contentType);
        frame(response, () -> HttpUtil.setContentLength(response, body.length));
        mChannel.write(response);
        int n = Math.min(after, Math.max(0, body.length - 1));
        mChannel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(body, 0, n)));
        abort();
    }

    /**
     * Closes the connection without ending the answer. Data that was sent before is still written.
     */
    public void abort() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> mChannel.close());
    }

    /** Runs the close action if the connection closed before the answer ended. */
    void handleClose() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mOnClose.run();
    }

    private void end() {
        mEnded = true;
        if (!keepsAlive()) {
            mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> mChannel.close());
        }
        mOnEnd.run();
    }

    private static byte[] bytes(ByteBuf content) {
        byte[] copy = new byte[content.readableBytes()];
        content.getBytes(content.readerIndex(), copy);
        return copy;
    }
}
