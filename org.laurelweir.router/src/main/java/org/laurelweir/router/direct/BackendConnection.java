package org.laurelweir.router.direct;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.runtime.process.Program;

/**
 * One connection to a backend server, which carries one request at a time. It is kept for another
 * one only if nothing about it is in doubt: the whole request went out, the answer's end was framed
 * and nothing followed it.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private final BackendRef mBackend;
    private final IdleConnections mIdle;
    private Channel mChannel;
    private Exchange mExchange;
    private ChannelFuture mWrite;
    private boolean mAnswered;
    private boolean mSkipping;
    private boolean mSuspect;
    private Duration mIdleTime = Duration.ZERO;

    BackendConnection(BackendRef backend, IdleConnections idle) {
        mBackend = backend;
        mIdle = idle;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
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

    void send(FullHttpRequest request, Exchange exchange) {
        mExchange = exchange;
        mAnswered = false;
        exchange.sending(mChannel);
        mWrite = mChannel.writeAndFlush(request);
        mWrite.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        exchange.lost("can't send: " + f.cause().getMessage());
                        mChannel.close();
                    }
                });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mExchange == null) {
                // Bytes that nobody asked for: where the next answer begins is not known any more.
                context.close();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            onBadMessage(message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse r) {
            onHead(r);
        }
        if (message instanceof HttpContent c) {
            onContent(c);
        }
    }

    private void onBadMessage(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            end(x -> x.lost("the connection ended within the head of the answer"));
        } else {
            end(x -> x.abandon("not an HTTP answer: " + cause.getMessage()));
        }
    }

    private void onHead(HttpResponse r) {
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkipping = true;
            return;
        }
        if (mExchange.isOfAnother(r)) {
            // A late second answer to an earlier request; the one to this request may follow.
            mSkipping = true;
            mSuspect = true;
            return;
        }
        mAnswered = true;
        mIdleTime = idleTime(r);
        mSuspect |= !mExchange.answered(r);
    }

    private void onContent(HttpContent c) {
        boolean last = c instanceof LastHttpContent;
        if (mSkipping || !mAnswered) {
            mSkipping &= !last;
            return;
        }
        mExchange.received(c);
        if (last) {
            onEnd();
        }
    }

    private void onEnd() {
        Exchange ended = mExchange;
        mExchange = null;
        boolean keeps = !mSuspect && !mIdleTime.isZero() && mWrite.isSuccess();
        if (keeps && !ended.isOver() && mChannel.isActive()) {
            mIdle.put(this, mIdleTime);
        } else {
            mChannel.close();
        }
        ended.finish();
    }

    /** Returns how long the connection may be kept after the answer; zero for not at all. */
    private static Duration idleTime(HttpResponse r) {
        boolean framed =
                HttpUtil.isTransferEncodingChunked(r)
                        || r.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!framed || !HttpUtil.isKeepAlive(r)) {
            return Duration.ZERO;
        }
        return IdleConnections.idleTime(r.headers().get("Keep-Alive", ""));
    }

    private void end(Consumer<Exchange> how) {
        Exchange ended = mExchange;
        mExchange = null;
        if (ended != null) {
            how.accept(ended);
        }
        mChannel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mIdle.remove(this);
        end(x -> x.lost("the connection ended before the answer was whole"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Program.endOnError("a connection failed", cause);
        String message = String.valueOf(cause.getMessage());
        if (cause instanceof IOException) {
            end(x -> x.lost(message));
        } else {
            end(x -> x.abandon(message));
        }
    }
}
