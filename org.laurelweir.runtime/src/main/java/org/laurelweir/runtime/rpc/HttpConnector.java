package org.laurelweir.runtime.rpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import org.laurelweir.runtime.config.Endpoint;

/** Opens HTTP/1.1 connections to backend servers. */
public final class HttpConnector {
    private static final int MAX_LINE = 16 << 10;
    private static final int MAX_HEADERS = 64 << 10;
    private static final int MAX_PIECE = 64 << 10;

    private final EventLoops mLoops;
    private final EventLoopGroup mGroup;
    private final int mConnectMillis;

    /**
     * Creates a connector.
     *
     * @param loops tell the type of connections
     * @param group those of the loops' threads that carry the connections
     * @param connectMillis longest time until a connection stands
     */
    public HttpConnector(EventLoops loops, EventLoopGroup group, int connectMillis) {
        mLoops = loops;
        mGroup = group;
        mConnectMillis = connectMillis;
    }

    /**
     * Opens a connection.
     *
     * @param there where the backend server listens
     * @param handler takes the parts of answers
     */
    public ChannelFuture connect(Endpoint there, ChannelHandler handler) {
        return new Bootstrap()
                .group(mGroup)
                .channel(mLoops.clientType())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Pipeline(handler))
                .connect(there.toSocketAddress());
    }

    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final ChannelHandler mHandler;

        Pipeline(ChannelHandler handler) {
            mHandler = handler;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec(MAX_LINE, MAX_HEADERS, MAX_PIECE));
            channel.pipeline().addLast(mHandler);
        }
    }
}
