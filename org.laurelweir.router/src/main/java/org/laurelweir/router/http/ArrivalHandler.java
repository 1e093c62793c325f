package org.laurelweir.router.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells when bytes arrive, before the codec has made a whole head of them. */
final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final Runnable mOnBytes;

    ArrivalHandler(Runnable onBytes) {
        mOnBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mOnBytes.run();
        context.fireChannelRead(message);
    }
}
