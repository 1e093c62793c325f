package org.laurelweir.runtime.rpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import org.laurelweir.runtime.answer.AnswerCodec;
import org.laurelweir.runtime.config.Endpoint;

/** Opens HTTP/1.1 connections to backend servers. */
public final class HttpConnector {
    /**
     * The system counts bytes as sent that only its buffer has taken. With a buffer of megabytes, a
     * request would count as sent whole while its server has hardly begun to read it, and whatever
     * the server sends before it ends the connection would count as the answer.
     */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private final EventLoops mLoops;
    private final EventLoopGroup mGroup;
    private final int mConnectMillis;

    /**
     * Creates a connector.
     *
     * @param loops determine the type of the connections
     * @param group the threads of {@code loops} that serve the connections
     * @param connectMillis connect timeout in milliseconds
     */
    public HttpConnector(EventLoops loops, EventLoopGroup group, int connectMillis) {
        mLoops = loops;
        mGroup = group;
        mConnectMillis = connectMillis;
    }

    /**
     * Opens a connection.
     *
     * @param address address of the backend server
     * @param handler receives the HTTP objects of the answers
     */
    public ChannelFuture connect(Endpoint address, ChannelHandler handler) {
        return new Bootstrap()
                .group(mGroup)
                .channel(mLoops.clientType())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .handler(new Pipeline(handler))
                .connect(address.toSocketAddress());
    }

    private static final class Pipeline extends ChannelInitializer<Channel> {
        private final ChannelHandler mHandler;

        Pipeline(ChannelHandler handler) {
            mHandler = handler;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new AnswerCodec()).addLast(mHandler);
        }
    }
}
