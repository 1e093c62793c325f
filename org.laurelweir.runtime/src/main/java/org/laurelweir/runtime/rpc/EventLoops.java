package org.laurelweir.runtime.rpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
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
 * The few threads that carry all of a process's connections. A process shares a small instance with
 * others, so one group serves its servers and its channels alike; the library's default of two
 * threads a core would cost a stack and an allocator arena each.
 */
public final class EventLoops implements Service {
    private static final long STOP_MILLIS = 2_000;

    private final EventLoopGroup mGroup;

    /**
     * Makes the threads; each starts with its first connection.
     *
     * @param name prefix of the threads' names
     * @param threads at least 1
     */
    public EventLoops(String name, int threads) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Returns the threads, for Netty servers and clients of the process's own. */
    public EventLoopGroup group() {
        return mGroup;
    }

    /** Returns the type of listening sockets that fits the threads. */
    public Class<? extends ServerChannel> serverType() {
        return NioServerSocketChannel.class;
    }

    /**
     * Listens for connections.
     *
     * @param listen where; with port 0 the operating system chooses
     * @param backlog most connections that wait to be taken
     * @param connections sets up each one
     * @return the listening socket
     * @throws LaurelweirException CANNOT_LISTEN if the address is taken or not of this machine
     */
    public Channel listen(
            Endpoint listen, int backlog, ChannelInitializer<SocketChannel> connections) {
        ChannelFuture bind =
                bootstrap(connections)
                        .channel(serverType())
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .bind(listen.toSocketAddress())
                        .awaitUninterruptibly();
        return listening(bind, listen);
    }

    /**
     * Takes the connections of a socket that listens already.
     *
     * @param socket the socket
     * @param connections sets up each one
     * @return the listening socket
     * @throws LaurelweirException CANNOT_LISTEN if the socket is of no use
     */
    public Channel listen(EarlySocket socket, ChannelInitializer<SocketChannel> connections) {
        ChannelFuture register =
                bootstrap(connections)
                        .channelFactory(() -> new NioServerSocketChannel(socket.channel()))
                        .register()
                        .awaitUninterruptibly();
        return listening(register, socket.endpoint());
    }

    private ServerBootstrap bootstrap(ChannelInitializer<SocketChannel> connections) {
        return new ServerBootstrap()
                .group(mGroup)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(connections);
    }

    private static Channel listening(ChannelFuture begun, Endpoint listen) {
        if (!begun.isSuccess()) {
            throw EarlySocket.cannotListen(listen, begun.cause());
        }
        return begun.channel();
    }

    /** Returns the type of connections that fits the threads. */
    public Class<? extends Channel> clientType() {
        return NioSocketChannel.class;
    }

    @Override
    public void start() {}

    /** Ends the threads. Stop what uses them first. */
    @Override
    public void stop() {
        mGroup.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
