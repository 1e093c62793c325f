package org.laurelweir.runtime.metrics;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.http.OpenConnections;
import org.laurelweir.runtime.http.PartialRequests;
import org.laurelweir.runtime.http.RequestCollector;
import org.laurelweir.runtime.http.RequestMemory;
import org.laurelweir.runtime.http.ResponseEncoder;
import org.laurelweir.runtime.http.ServerBounds;
import org.laurelweir.runtime.rpc.EventLoops;

/**
 * Serves {@code /metrics} for scrapers, {@code /healthz} (200 while the process runs) and {@code
 * /readyz} (200, or 503 with the reason). Uses its own thread, so that it also answers while the
 * program is busy.
 */
public final class MetricsServer implements Service {
    private static final int MAX_HEAD_BYTES = 8 << 10;
    private static final int MAX_BODY_BYTES = 1024;
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_REQUEST_MEMORY_BYTES = 2 << 20;
    private static final int MAX_PARTIAL_REQUEST_BYTES = 256 << 10;
    private static final int READ_TIMEOUT_SECONDS = 10;

    private final Endpoint mEndpoint;
    private final MetricRegistry mRegistry;
    private final Readiness mReadiness;
    private final ServerBounds mBounds = newBounds();
    private EventLoopGroup mGroup;
    private Channel mChannel;

    /**
     * Creates the server; it listens once started.
     *
     * @param endpoint address to listen on; with port 0 the operating system chooses the port
     * @param registry the metrics to serve
     * @param readiness queried for each request of {@code /readyz}
     */
    public MetricsServer(Endpoint endpoint, MetricRegistry registry, Readiness readiness) {
        mEndpoint = endpoint;
        mRegistry = registry;
        mReadiness = readiness;
    }

    private static ServerBounds newBounds() {
        Duration timeout = Duration.ofSeconds(READ_TIMEOUT_SECONDS);
        return new ServerBounds(
                MAX_HEAD_BYTES,
                MAX_BODY_BYTES,
                timeout,
                timeout,
                new RequestMemory(MAX_REQUEST_MEMORY_BYTES),
                new PartialRequests(MAX_PARTIAL_REQUEST_BYTES),
                new OpenConnections(MAX_CONNECTIONS));
    }

    /**
     * Starts to listen.
     *
     * @throws LaurelweirException CANNOT_LISTEN if the address is in use or does not belong to this
     *     machine
     */
    @Override
    public void start() {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ChannelFuture bind =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, EventLoops.oneReadATurn())
                        .childHandler(new Initializer())
                        .bind(mEndpoint.toSocketAddress())
                        .awaitUninterruptibly();
        if (!bind.isSuccess()) {
            stop();
            throw new LaurelweirException(
                    ResultCode.CANNOT_LISTEN,
                    "metrics cannot listen on " + mEndpoint + ": " + bind.cause().getMessage(),
                    bind.cause());
        }
        mChannel = bind.channel();
    }

    /**
     * Returns the address on which the server listens, with the actual port. Valid once started.
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) mChannel.localAddress();
        return mEndpoint.withPort(address.getPort());
    }

    /**
     * Closes the listening socket before the event loop ends, because an event loop does not always
     * close its open channels.
     */
    @Override
    public void stop() {
        if (mChannel != null) {
            mChannel.close().awaitUninterruptibly();
        }
        if (mGroup != null) {
            mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ChannelPipeline pipeline = channel.pipeline();
            pipeline.addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS));
            ResponseEncoder encoder = new ResponseEncoder();
            pipeline.addLast(encoder);
            pipeline.addLast(new RequestCollector(mBounds, encoder));
            pipeline.addLast(new MetricsHandler(mRegistry, mReadiness));
        }
    }
}
