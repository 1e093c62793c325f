package org.laurelweir.router.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.rpc.EarlySocket;
import org.laurelweir.runtime.rpc.EventLoops;

/** Listens for callers. */
public final class CallerServer implements Service {
    private final EventLoops mLoops;
    private final Endpoint mListen;
    private final Optional<EarlySocket> mSocket;
    private final CallerConnections mConnections;
    private Channel mListener;

    /**
     * Creates the server; it listens once started.
     *
     * @param loops carry the connections
     * @param listen where; with port 0 the operating system chooses
     * @param socket one that listens there already, if there is one
     * @param handler takes the requests
     * @param limits asked for each new connection
     * @param names of the requests
     * @param dialect the names of headers
     */
    public CallerServer(
            EventLoops loops,
            Endpoint listen,
            Optional<EarlySocket> socket,
            CallHandler handler,
            Supplier<Limits> limits,
            RequestNames names,
            HttpDialect dialect) {
        mLoops = loops;
        mListen = listen;
        mSocket = socket;
        mConnections = new CallerConnections(handler, limits, names, dialect);
    }

    /**
     * Listens.
     *
     * @throws LaurelweirException CANNOT_LISTEN if the address is taken or not of this machine
     */
    @Override
    public void start() {
        EarlySocket socket = mSocket.orElseGet(() -> EarlySocket.open(mListen));
        mListener = mLoops.listen(socket, new Initializer());
    }

    /** Returns where the server listens, with the port that was chosen. Once started. */
    public Endpoint endpoint() {
        return mListen.withPort(((InetSocketAddress) mListener.localAddress()).getPort());
    }

    /** Goes on serving, and tells each caller with its answer that the connection will close. */
    public void closeAfterAnswers() {
        mConnections.leaving();
    }

    /** Takes no new connection, closes the idle ones, and the others after their answers. */
    public void drain() {
        mListener.close().awaitUninterruptibly();
        mConnections.stopping();
        for (Channel c : mConnections.open()) {
            CallerConnection connection = c.pipeline().get(CallerConnection.class);
            if (connection != null) {
                c.eventLoop().execute(connection::onStopping);
            }
        }
    }

    /**
     * Waits until every connection is closed.
     *
     * @param limit longest wait
     * @return whether all are closed
     */
    public boolean awaitClosed(Duration limit) {
        return mConnections
                .open()
                .newCloseFuture()
                .awaitUninterruptibly(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes what is left at once. */
    @Override
    public void stop() {
        if (mListener != null) {
            mListener.close().awaitUninterruptibly();
        }
        mConnections.open().close().awaitUninterruptibly();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            Limits limits = mConnections.limits();
            CallerConnection connection = new CallerConnection(mConnections);
            HttpDecoderConfig decoder =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(limits.headerBytes())
                            .setMaxHeaderSize(limits.headerBytes());
            channel.pipeline()
                    .addLast(new ArrivalHandler(connection::onBytes))
                    .addLast(new HttpServerCodec(decoder))
                    .addLast(
                            new WriteTimeoutHandler(
                                    limits.requestTime().toMillis(), TimeUnit.MILLISECONDS))
                    .addLast(connection);
        }
    }
}
