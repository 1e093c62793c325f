package org.laurelweir.router.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports the arrival of bytes before the codec has decoded a complete head. */
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
