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
    private static final long MILLIS_PER_SECOND = 1000;

    private final Channel mChannel;
    private final long mCaller;
    private final CallerConnections mConnections;
    private final Runnable mOnBodyDropped;
    private final Runnable mOnWritten;
    private boolean mCloseConnection;
    private boolean mHeadSent;
    private boolean mDone;
    private long mConsumedBytes;

    /**
     * Creates an answer.
     *
     * @param caller id of the request
     * @param close whether the caller asked to close the connection after the answer
     * @param onBodyDropped called on the event loop when the request's headers and body are not
     *     held any more
     * @param onWritten called on the event loop when the socket has accepted the complete answer
     */
    ChannelAnswer(
            Channel channel,
            long caller,
            CallerConnections connections,
            boolean close,
            Runnable onBodyDropped,
            Runnable onWritten) {
        mChannel = channel;
        mCaller = caller;
        mConnections = connections;
        mCloseConnection = close;
        mOnBodyDropped = onBodyDropped;
        mOnWritten = onWritten;
    }

    /** Returns whether the end of the answer, or an error, has been passed to the channel. */
    boolean isDone() {
        return mDone;
    }

    /** Returns whether the connection is closed after the answer. */
    boolean closesConnection() {
        return mCloseConnection;
    }

    /** Closes the connection after the answer. The head, if not yet sent, announces that. */
    void closeConnectionAfter() {
        mCloseConnection = true;
    }

    @Override
    public void bodyDropped() {
        mChannel.eventLoop().execute(this::releaseBody);
    }

    private void releaseBody() {
        // Once the answer is done, the connection may hold the body of the next request.
        if (!mDone) {
            mOnBodyDropped.run();
        }
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
        mChannel.eventLoop().execute(() -> writeWhole(newResponse(status, contentType, body)));
    }

    @Override
    public void whole(int status, List<Header> headers, byte[] body) {
        mChannel.eventLoop().execute(() -> writeWhole(forwardedResponse(status, headers, body)));
    }

    private FullHttpResponse forwardedResponse(int status, List<Header> headers, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        headers.stream()
                .filter(HopByHopHeaders::isForwarded)
                .forEach(h -> response.headers().add(h.name(), h.value()));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        setCommonHeaders(response);
        return response;
    }

    private void writeHead(int status, List<Header> headers) {
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.stream()
                .filter(HopByHopHeaders::isForwarded)
                .forEach(h -> head.headers().add(h.name(), h.value()));
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setCommonHeaders(head);
        mHeadSent = true;
        mChannel.writeAndFlush(head);
    }

    /**
     * Sends a piece of the body. Bytes count as consumed only once the socket has accepted them.
     * The sidecar's stream is read no faster than that, so a slow caller occupies at most that
     * stream's window.
     */
    private void writeData(byte[] bytes) {
        mChannel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                mConsumedBytes += bytes.length;
                                mConnections.handler().onConsumed(mCaller, mConsumedBytes);
                            }
                        });
    }

    private void writeError(ResultCode code, String message, Duration retryAfter) {
        if (mHeadSent) {
            mDone = true;
            mChannel.close();
            return;
        }
        FullHttpResponse response =
                newResponse(code.httpStatus(), JSON, ErrorBody.of(code, message));
        if (!retryAfter.isZero()) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(retryAfter));
        }
        if (code == ResultCode.UNAUTHENTICATED) {
            response.headers()
                    .set(HttpHeaderNames.WWW_AUTHENTICATE, mConnections.dialect().keyScheme());
        }
        writeLast(response);
    }

    private String retryAfterSeconds(Duration wait) {
        if (mConnections.dialect().exactRetryAfter()) {
            return String.format(Locale.ROOT, "%.3f", wait.toMillis() / (double) MILLIS_PER_SECOND);
        }
        return Long.toString(
                Math.max(1, (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }

    private void writeWhole(FullHttpResponse response) {
        mConnections.unreadAnswers().add(mChannel, response.content().readableBytes());
        writeLast(response);
    }

    private void writeLast(Object last) {
        mDone = true;
        mChannel.writeAndFlush(last).addListener(f -> onWritten());
    }

    private void onWritten() {
        mConnections.unreadAnswers().remove(mChannel);
        mOnWritten.run();
    }

    private FullHttpResponse newResponse(int status, String contentType, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        setCommonHeaders(response);
        return response;
    }

    private void setCommonHeaders(HttpResponse response) {
        mCloseConnection |= mConnections.closesAfterAnswers();
        response.headers().set(REQUEST_ID, mConnections.requestName(mCaller));
        if (mCloseConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
