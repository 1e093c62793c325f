package org.laurelweir.router.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.ResultCode;

/** Writes one answer to its caller's channel, on the channel's event loop. */
final class ChannelAnswer implements CallerAnswer {
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String JSON = "application/json";
    private static final long MILLIS = 1000;

    private final Channel mChannel;
    private final long mCaller;
    private final CallerConnections mConnections;
    private final Runnable mOnWritten;
    private boolean mClose;
    private boolean mHeadSent;
    private boolean mDone;
    private long mTaken;

    /**
     * Prepares an answer.
     *
     * @param caller whose answer it is
     * @param close whether the caller wants its connection closed afterwards
     * @param onWritten called on the event loop once the socket has the whole answer
     */
    ChannelAnswer(
            Channel channel,
            long caller,
            CallerConnections connections,
            boolean close,
            Runnable onWritten) {
        mChannel = channel;
        mCaller = caller;
        mConnections = connections;
        mClose = close;
        mOnWritten = onWritten;
    }

    /** Returns whether the final answer has been handed to the channel. */
    boolean isDone() {
        return mDone;
    }

    /** Returns whether the answer told the caller that its connection will be closed. */
    boolean closes() {
        return mClose;
    }

    /** Has the connection closed after the answer, if its head is not sent yet. */
    void close() {
        mClose = true;
    }

    @Override
    public void head(int status, List<Header> headers) {
        mChannel.eventLoop().execute(() -> writeHead(status, headers));
    }

    @Override
    public void data(byte[] bytes) {
        mChannel.eventLoop().execute(() -> writeData(bytes));
    }

    @Override
    public void end() {
        mChannel.eventLoop().execute(() -> writeLast(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void error(ResultCode code, String message, Duration retryAfter) {
        mChannel.eventLoop().execute(() -> writeError(code, message, retryAfter));
    }

    @Override
    public void whole(int status, String contentType, byte[] body) {
        mChannel.eventLoop().execute(() -> writeLast(full(status, contentType, body)));
    }

    @Override
    public void whole(int status, List<Header> headers, byte[] body) {
        mChannel.eventLoop().execute(() -> writeLast(passedOn(status, headers, body)));
    }

    private FullHttpResponse passedOn(int status, List<Header> headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        headers.stream()
                .filter(HopHeaders::isPassedOn)
                .forEach(h -> response.headers().add(h.name(), h.value()));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        putCommon(response);
        return response;
    }

    private void writeHead(int status, List<Header> headers) {
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.stream()
                .filter(HopHeaders::isPassedOn)
                .forEach(h -> head.headers().add(h.name(), h.value()));
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        putCommon(head);
        mHeadSent = true;
        mChannel.writeAndFlush(head);
    }

    /**
     * Counts bytes as taken only once the socket has them. The stream behind is read on no faster
     * than its caller reads, so a slow caller holds no more than that stream's window.
     */
    private void writeData(byte[] bytes) {
        mChannel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                mTaken += bytes.length;
                                mConnections.handler().onTaken(mCaller, mTaken);
                            }
                        });
    }

    private void writeError(ResultCode code, String message, Duration retryAfter) {
        if (mHeadSent) {
            mDone = true;
            mChannel.close();
            return;
        }
        FullHttpResponse response = full(code.httpStatus(), JSON, ErrorBody.of(code, message));
        if (!retryAfter.isZero()) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfter));
        }
        if (code == ResultCode.UNAUTHENTICATED) {
            response.headers()
                    .set(HttpHeaderNames.WWW_AUTHENTICATE, mConnections.dialect().keyScheme());
        }
        writeLast(response);
    }

    private String seconds(Duration wait) {
        if (mConnections.dialect().exactRetryAfter()) {
            return String.format(Locale.ROOT, "%.3f", wait.toMillis() / (double) MILLIS);
        }
        return Long.toString(Math.max(1, (wait.toMillis() + MILLIS - 1) / MILLIS));
    }

    private void writeLast(Object last) {
        mDone = true;
        mChannel.writeAndFlush(last).addListener(f -> mOnWritten.run());
    }

    private FullHttpResponse full(int status, String contentType, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        putCommon(response);
        return response;
    }

    private void putCommon(HttpResponse response) {
        mClose |= mConnections.isLeaving();
        response.headers().set(REQUEST_ID, mConnections.requestName(mCaller));
        if (mClose) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
