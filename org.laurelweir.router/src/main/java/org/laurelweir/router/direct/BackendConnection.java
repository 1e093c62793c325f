package org.laurelweir.router.direct;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.runtime.answer.AnswerCodec;
import org.laurelweir.runtime.process.Program;

/**
 * One connection to a backend server. It carries one request at a time. It is reused only if the
 * whole request was written, the answer's end was framed, and nothing followed the answer. Bytes
 * that follow it later, but before the next request, close the connection.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final BackendRef mBackend;
    private final IdleConnections mIdle;
    private final ServerNotices mNotices;
    private Channel mChannel;
    private AnswerCodec mCodec;
    private HttpExchange mExchange;
    private ChannelFuture mWrite;
    private boolean mHeadReceived;
    private BodyFraming mFraming;
    private boolean mSkippingAnswer;
    private boolean mNotReusable;

    /** Whether the server named the request in an earlier answer on this connection. */
    private boolean mNamesRequests;

    private Duration mIdleTime = Duration.ZERO;

    BackendConnection(BackendRef backend, IdleConnections idle, ServerNotices notices) {
        mBackend = backend;
        mIdle = idle;
        mNotices = notices;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mCodec = context.pipeline().get(AnswerCodec.class);
    }

    BackendRef backend() {
        return mBackend;
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    void close() {
        mChannel.close();
    }

    void send(FullHttpRequest request, HttpExchange exchange) {
        mExchange = exchange;
        mHeadReceived = false;
        exchange.onSending(mChannel);
        mWrite = PiecewiseWriter.write(mChannel, request);
        mWrite.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        exchange.onConnectionLost("can't send: " + f.cause().getMessage());
                        mChannel.close();
                    }
                });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            reportNotice(message);
            if (mExchange == null) {
                closeAfterUnaskedBytes();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Closes an idle connection in whose decoder the beginning of an unasked answer waits. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mExchange == null && mCodec.hasPartialAnswer()) {
            closeAfterUnaskedBytes();
        }
        context.fireChannelReadComplete();
    }

    /** The beginning of the next answer can't be determined any more. */
    private void closeAfterUnaskedBytes() {
        sLogger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "closed a connection to %s: bytes came after the end of an answer", mBackend.id());
        mChannel.close();
    }

    private void reportNotice(Object message) {
        if (message instanceof HttpResponse r && r.decoderResult().isSuccess()) {
            mNotices.onHead(mBackend, r);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            onMalformedAnswer(message.decoderResult().cause().getMessage());
            return;
        }
        if (message instanceof HttpResponse r) {
            onHead(r);
        }
        if (message instanceof HttpContent c) {
            onContent(c);
        }
    }

    private void onMalformedAnswer(String reason) {
        String message = "malformed HTTP answer: " + reason;
        sLogger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "closed a connection to %s: %s", mBackend.id(), message);
        endExchange(x -> x.abandon(message));
    }

    private void onHead(HttpResponse r) {
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkippingAnswer = true;
            return;
        }
        if (mExchange.isForOtherRequest(r)) {
            // A late second answer to an earlier request. The answer to this request may follow.
            mSkippingAnswer = true;
            mNotReusable = true;
            return;
        }
        if (mNamesRequests && mExchange.hasRequestId() && !mExchange.isNamedIn(r)) {
            // Bytes of an unasked answer may have come before the real one.
            endExchange(x -> x.abandon("the answer does not name its request"));
            return;
        }
        mNamesRequests |= mExchange.isNamedIn(r);
        mHeadReceived = true;
        AnswerMetadata metadata = mExchange.onHead(r);
        mIdleTime = idleTime(r);
        mFraming = metadata.framing();
        mNotReusable |= !metadata.genuine() || !mFraming.provesEnd();
    }

    private void onContent(HttpContent c) {
        boolean last = c instanceof LastHttpContent;
        if (mSkippingAnswer || !mHeadReceived) {
            mSkippingAnswer &= !last;
            return;
        }
        mExchange.onContent(c);
        if (last) {
            onEnd();
        }
    }

    private void onEnd() {
        if (!mFraming.provesEnd() && !mWrite.isSuccess()) {
            // The server gave up reading the request, maybe within its answer.
            endExchange(
                    x ->
                            x.onConnectionLost(
                                    "the connection ended the answer before the request was sent"));
            return;
        }
        HttpExchange ended = mExchange;
        mExchange = null;
        boolean isClean = !mCodec.hasPartialAnswer();
        boolean reusable =
                isClean
                        && !mNotReusable
                        && !mIdleTime.isZero()
                        && mWrite.isSuccess()
                        && !ended.isEnded();
        // Closing a connection fails what is still being sent, which must not fail the exchange.
        ended.finish();
        if (reusable && mChannel.isActive()) {
            mChannel.config().setAutoRead(true);
            mIdle.put(this, mIdleTime);
        } else if (isClean) {
            mChannel.close();
        } else {
            closeAfterUnaskedBytes();
        }
    }

    /**
     * Returns how long the connection may stay idle after the answer; zero if it must be closed.
     */
    private static Duration idleTime(HttpResponse r) {
        if (!HttpUtil.isKeepAlive(r)) {
            return Duration.ZERO;
        }
        return IdleConnections.idleTime(r.headers().get("Keep-Alive", ""));
    }

    private void endExchange(Consumer<HttpExchange> failure) {
        HttpExchange ended = mExchange;
        mExchange = null;
        if (ended != null) {
            failure.accept(ended);
        }
        mChannel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mIdle.remove(this);
        boolean isWithinHead = !mHeadReceived && mCodec.hasPartialAnswer();
        String place = isWithinHead ? "within the head" : "before the end";
        endExchange(
                x -> x.onConnectionLost("the connection was closed " + place + " of the answer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Program.haltOnError("a connection to a backend server failed", cause);
        String message = String.valueOf(cause.getMessage());
        if (cause instanceof IOException) {
            endExchange(x -> x.onConnectionLost(message));
        } else {
            endExchange(x -> x.abandon(message));
        }
    }
}
