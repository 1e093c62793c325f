package org.laurelweir.runtime.rpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;

/**
 * The threads that serve all connections of a process. A process shares a small instance with other
 * processes, so its servers and its channels use the same few threads. Netty's default of two
 * threads per core would cost a stack and an allocator arena for each thread.
 */
public final class EventLoops implements Service {
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private static final int MAX_ACCEPTED_AT_ONCE = 1024;

    private final EventLoopGroup mGroup;

    /**
     * Creates the threads. Each one starts with its first connection.
     *
     * @param name prefix of the threads' names
     * @param threads at least 1
     */
    public EventLoops(String name, int threads) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Returns the threads, for other Netty servers and clients in the process. */
    public EventLoopGroup group() {
        return mGroup;
    }

    /** Returns the type of listening sockets that the threads support. */
    public Class<? extends ServerChannel> serverType() {
        return NioServerSocketChannel.class;
    }

    /**
     * Listens for connections.
     *
     * @param listen address to listen on; with port 0 the operating system chooses the port
     * @param backlog maximum number of connections that wait to be accepted
     * @param connections initializes each accepted connection
     * @return the listening socket
     * @throws LaurelweirException CANNOT_LISTEN if the address is in use or does not belong to this
     *     machine
     */
    public Channel listen(
            Endpoint listen, int backlog, ChannelInitializer<SocketChannel> connections) {
        ChannelFuture bind =
                bootstrap(connections)
                        .channel(serverType())
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .bind(listen.toSocketAddress())
                        .awaitUninterruptibly();
        return listeningChannel(bind, listen);
    }

    /**
     * Accepts the connections of a socket that already listens, all that wait at a time, so that
     * none waits long behind others before it is accepted or closed.
     *
     * @param socket the socket
     * @param acceptor receives each accepted connection before it is initialized and read
     * @param connections initializes each accepted connection
     * @return the listening socket
     * @throws LaurelweirException CANNOT_LISTEN if the socket cannot be registered
     */
    public Channel listen(
            EarlySocket socket,
            ChannelHandler acceptor,
            ChannelInitializer<SocketChannel> connections) {
        ChannelFuture register =
                bootstrap(connections)
                        .handler(acceptor)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(MAX_ACCEPTED_AT_ONCE))
                        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                        .register()
                        .awaitUninterruptibly();
        return listeningChannel(register, socket.endpoint());
    }

    /** Returns what limits each turn of a connection to one read, so that all have their turns. */
    public static RecvByteBufAllocator oneReadATurn() {
        return new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    private ServerBootstrap bootstrap(ChannelInitializer<SocketChannel> connections) {
        return new ServerBootstrap()
                .group(mGroup)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, oneReadATurn())
                .childHandler(connections);
    }

    private static Channel listeningChannel(ChannelFuture started, Endpoint listen) {
        if (!started.isSuccess()) {
            throw EarlySocket.cannotListen(listen, started.cause());
        }
        return started.channel();
    }

    /** Returns the type of connections that the threads support. */
    public Class<? extends Channel> clientType() {
        return NioSocketChannel.class;
    }

    @Override
    public void start() {}

    /** Ends the threads. Stop the servers and channels that use them first. */
    @Override
    public void stop() {
        mGroup.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }
}
