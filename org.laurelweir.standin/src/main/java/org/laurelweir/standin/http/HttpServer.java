package org.laurelweir.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;

/**
 * An HTTP/1.1 server with one thread. Every call and every scheduled action runs on its event loop,
 * so a handler needs no locks.
 */
public final class HttpServer implements Service {
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int STOP_SECONDS = 5;

    private final Endpoint mListen;
    private final HttpHandler mHandler;
    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final ChannelGroup mConnections;
    private Channel mChannel;

    /** Creates a server that passes its calls to a handler. */
    public HttpServer(Endpoint listen, HttpHandler handler) {
        mListen = listen;
        mHandler = new SafeHandler(handler);
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = mGroup.next();
        mConnections = new DefaultChannelGroup(mLoop, true);
    }

    /**
     * Binds the address.
     *
     * @throws LaurelweirException with {@code CANNOT_LISTEN} if the address cannot be bound
     */
    @Override
    public void start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new ConnectionInitializer());
        ChannelFuture bound = bootstrap.bind(mListen.toSocketAddress()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new LaurelweirException(
                    ResultCode.CANNOT_LISTEN, mListen + ": " + bound.cause(), bound.cause());
        }
        mChannel = bound.channel();
    }

    /**
     * Closes the listening socket and all connections, then shuts down the event loop. The channels
     * are closed first, because the event loop may shut down without closing them.
     */
    @Override
    public void stop() {
        if (mChannel != null) {
            mChannel.close().awaitUninterruptibly();
        }
        mConnections.close().awaitUninterruptibly();
        mGroup.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Returns the bound address; valid only after {@link #start}. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mChannel.localAddress();
    }

    /** Passes a call to the handler again after a delay. */
    public void handleLater(HttpExchange call, Duration delay) {
        mLoop.schedule(() -> mHandler.handle(call), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Returns the event loop on which handlers run, to schedule actions. */
    public EventLoop loop() {
        return mLoop;
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            mConnections.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new HttpConnection(mHandler));
        }
    }
}
