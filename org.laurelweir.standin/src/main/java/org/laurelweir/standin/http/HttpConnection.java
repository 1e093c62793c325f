package org.laurelweir.standin.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Handles the calls of one connection one at a time, so that pipelined answers keep their order.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_PIPELINED = 16;

    private final HttpHandler mHandler;
    private final Queue<HttpExchange> mPending = new ArrayDeque<>();
    private HttpExchange mCurrent;

    HttpConnection(HttpHandler handler) {
        mHandler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (request.decoderResult().isFailure() || mPending.size() == MAX_PIPELINED) {
            ctx.close();
            return;
        }
        mPending.add(new HttpExchange(ctx.channel(), request, this::handleNext));
        if (mCurrent == null) {
            handleNext();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mPending.clear();
        if (mCurrent != null) {
            mCurrent.handleClose();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.atWarning().withCause(cause).log("connection closed after an error");
        }
        ctx.close();
    }

    private void handleNext() {
        mCurrent = mPending.poll();
        if (mCurrent != null) {
            mHandler.handle(mCurrent);
        }
    }
}
