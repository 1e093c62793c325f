package org.laurelweir.router.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.http.ResponseEncoder;
import org.laurelweir.runtime.rpc.EarlySocket;
import org.laurelweir.runtime.rpc.EventLoops;

/** The HTTP server for callers. */
public final class CallerServer implements Service {
    private final EventLoops mLoops;
    private final Endpoint mListen;
    private final Optional<EarlySocket> mSocket;
    private final CallerConnections mConnections;
    private final ConnectionAcceptor mAcceptor;
    private Channel mListener;

    /**
     * Creates the server. It listens after {@link #start}.
     *
     * @param loops event loops for the connections
     * @param listen address to listen on; with port 0 the operating system chooses a port
     * @param socket a socket that already listens on that address, if there is one
     * @param handler handles the requests
     * @param limits returns the limits for a new connection
     * @param names returns the request ids in answers
     * @param dialect the names of headers
     * @param acceptance what is needed to decide on new connections
     */
    public CallerServer(
            EventLoops loops,
            Endpoint listen,
            Optional<EarlySocket> socket,
            CallHandler handler,
            Supplier<Limits> limits,
            RequestNames names,
            HttpDialect dialect,
            Acceptance acceptance) {
        mLoops = loops;
        mListen = listen;
        mSocket = socket;
        mConnections = new CallerConnections(handler, limits, names, dialect, acceptance);
        mAcceptor = new ConnectionAcceptor(acceptance, mConnections);
    }

    /**
     * Starts to listen.
     *
     * @throws LaurelweirException CANNOT_LISTEN if the address is in use or does not belong to this
     *     machine
     */
    @Override
    public void start() {
        EarlySocket socket = mSocket.orElseGet(() -> EarlySocket.open(mListen));
        mListener = mLoops.listen(socket, mAcceptor, new Initializer());
    }

    /** Returns the address with the actual port. The server must have been started. */
    public Endpoint endpoint() {
        return mListen.withPort(((InetSocketAddress) mListener.localAddress()).getPort());
    }

    /** Keeps serving, but closes each connection after its next answer, which announces that. */
    public void closeAfterAnswers() {
        mConnections.closeAfterAnswers();
    }

    /**
     * Closes the listener and idle connections, and closes other connections after their answers.
     */
    public void drain() {
        mListener.close().awaitUninterruptibly();
        mConnections.markStopping();
        for (Channel c : mConnections.channels()) {
            CallerConnection connection = c.pipeline().get(CallerConnection.class);
            if (connection != null) {
                c.eventLoop().execute(connection::onStopping);
            }
        }
    }

    /**
     * Waits until every connection is closed.
     *
     * @param limit maximum wait
     * @return whether all connections are closed
     */
    public boolean awaitClosed(Duration limit) {
        return mConnections
                .channels()
                .newCloseFuture()
                .awaitUninterruptibly(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the listener and all connections at once. */
    @Override
    public void stop() {
        if (mListener != null) {
            mListener.close().awaitUninterruptibly();
        }
        mConnections.channels().close().awaitUninterruptibly();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ResponseEncoder encoder = new ResponseEncoder();
            channel.pipeline()
                    .addLast(encoder)
                    .addLast(mConnections.limits().newWriteTimeout())
                    .addLast(new CallerConnection(mConnections, encoder));
        }
    }
}
