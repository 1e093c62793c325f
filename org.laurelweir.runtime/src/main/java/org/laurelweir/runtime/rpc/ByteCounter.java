package org.laurelweir.runtime.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes that connections write to and read from their sockets, including protocol
 * framing.
 */
@Sharable
final class ByteCounter extends ChannelDuplexHandler {
    private final LongAdder mSent = new LongAdder();
    private final LongAdder mReceived = new LongAdder();

    long sent() {
        return mSent.sum();
    }

    long received() {
        return mReceived.sum();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        if (message instanceof ByteBuf b) {
            mSent.add(b.readableBytes());
        }
        super.write(context, message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf b) {
            mReceived.add(b.readableBytes());
        }
        super.channelRead(context, message);
    }
}
