package org.laurelweir.router.direct;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;

/**
 * Writes a request with a large body in pieces, each after the connection has taken the one before.
 * The network code copies what it writes into direct memory, which would have to hold the bodies of
 * all requests that servers read slowly.
 */
final class PiecewiseWriter {
    private static final int PIECE_BYTES = 64 << 10;

    private final Channel mChannel;
    private final ByteBuf mBody;
    private final ChannelPromise mWritten;

    private PiecewiseWriter(Channel channel, ByteBuf body) {
        mChannel = channel;
        mBody = body;
        mWritten = channel.newPromise();
    }

    /** Writes a request. Returns when all of it was written, or that it can't be. */
    static ChannelFuture write(Channel channel, FullHttpRequest request) {
        if (request.content().readableBytes() <= PIECE_BYTES) {
            return channel.writeAndFlush(request);
        }
        channel.write(
                new DefaultHttpRequest(
                        request.protocolVersion(),
                        request.method(),
                        request.uri(),
                        request.headers()));
        PiecewiseWriter writer = new PiecewiseWriter(channel, request.content());
        writer.writeNext();
        return writer.mWritten;
    }

    private void writeNext() {
        ByteBuf piece = mBody.readRetainedSlice(Math.min(PIECE_BYTES, mBody.readableBytes()));
        boolean isLast = !mBody.isReadable();
        mChannel.writeAndFlush(
                        isLast ? new DefaultLastHttpContent(piece) : new DefaultHttpContent(piece))
                .addListener(f -> onPieceWritten(f, isLast));
    }

    private void onPieceWritten(Future<?> piece, boolean wasLast) {
        if (piece.isSuccess() && !wasLast) {
            writeNext();
            return;
        }
        mBody.release();
        if (piece.isSuccess()) {
            mWritten.setSuccess();
        } else {
            mWritten.setFailure(piece.cause());
        }
    }
}
