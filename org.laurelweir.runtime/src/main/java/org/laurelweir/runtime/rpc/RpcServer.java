package org.laurelweir.runtime.rpc;

import io.grpc.BindableService;
import io.grpc.InsecureServerCredentials;
import io.grpc.Server;
import io.grpc.ServerCredentials;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.ChannelOption;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;

/**
 * Serves gRPC services on one address. Calls run on the event loops unless an executor is set. A
 * service that blocks needs an executor.
 */
public final class RpcServer implements Service {
    private static final Duration MIN_KEEP_ALIVE_TIME = Duration.ofSeconds(1);

    private final Builder mSettings;
    private Server mServer;

    private RpcServer(Builder settings) {
        mSettings = settings;
    }

    /**
     * Returns a builder of a server.
     *
     * @param loops threads that serve the connections; stop them after the server
     * @param traffic counts the bytes on the wire
     */
    public static Builder builder(EventLoops loops, TrafficCounters traffic) {
        return new Builder(loops, traffic);
    }

    /**
     * Starts to listen.
     *
     * @throws LaurelweirException CANNOT_LISTEN if the address is in use or does not belong to this
     *     machine
     */
    @Override
    public void start() {
        try {
            mServer = mSettings.newServer().start();
        } catch (IOException e) {
            throw new LaurelweirException(
                    ResultCode.CANNOT_LISTEN,
                    "cannot listen on " + mSettings.mListen + ": " + e.getMessage(),
                    e);
        }
    }

    /** Returns the actual port on which the server listens. Valid once started. */
    public int port() {
        return mServer.getPort();
    }

    /** Stops accepting connections and calls. Calls in flight continue. */
    public void drain() {
        if (mServer != null) {
            mServer.shutdown();
        }
    }

    /**
     * Drains the server, waits up to the grace time for calls in flight, then cancels the remaining
     * ones.
     */
    @Override
    public void stop() {
        if (mServer == null) {
            return;
        }
        mServer.shutdown();
        try {
            if (!mServer.awaitTermination(mSettings.mGrace.toMillis(), TimeUnit.MILLISECONDS)) {
                mServer.shutdownNow();
            }
        } catch (InterruptedException e) {
            mServer.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }

    /** Collects a server's settings. */
    public static final class Builder {
        private static final int MAX_MESSAGE_BYTES = 32 << 20;
        private static final int MAX_CONNECTIONS = 2048;
        private static final int MAX_CALLS_OF_A_CONNECTION = 1024;

        /** Calls that are not taken yet may hold this part of the heap, or of direct memory. */
        private static final int HELD_MEMORY_DIVISOR = 4;

        private final EventLoops mLoops;
        private final TrafficCounters mTraffic;
        private final List<BindableService> mServices = new ArrayList<>();
        private InetSocketAddress mListen = new InetSocketAddress("127.0.0.1", 0);
        private Executor mExecutor = Runnable::run;
        private Duration mGrace = Duration.ofSeconds(5);
        private int mMaxMessageBytes = MAX_MESSAGE_BYTES;
        private long mMaxHeldBytes = memoryBytes() / HELD_MEMORY_DIVISOR;
        private ServerCredentials mCredentials = InsecureServerCredentials.create();

        private Builder(EventLoops loops, TrafficCounters traffic) {
            mLoops = loops;
            mTraffic = traffic;
        }

        /**
         * Sets the address to listen on; 127.0.0.1 and a free port by default.
         *
         * @param ip an IP address
         * @param port 0 lets the operating system choose
         */
        public Builder listen(String ip, int port) {
            mListen = new InetSocketAddress(ip, port);
            return this;
        }

        /** Adds a service. */
        public Builder service(BindableService service) {
            mServices.add(service);
            return this;
        }

        /** Runs calls on an executor instead of the event loops, for services that block. */
        public Builder executor(Executor executor) {
            mExecutor = executor;
            return this;
        }

        /** Sets how long a stop waits for calls in flight; 5 s by default. */
        public Builder grace(Duration grace) {
            mGrace = grace;
            return this;
        }

        /** Sets the maximum size of a received message; 32 MiB by default. */
        public Builder maxMessageBytes(int bytes) {
            mMaxMessageBytes = bytes;
            return this;
        }

        /**
         * Sets how much the calls of all clients that no method has taken yet may hold together; a
         * quarter of the heap or of direct memory by default, whichever is smaller.
         */
        public Builder maxHeldBytes(long bytes) {
            mMaxHeldBytes = bytes;
            return this;
        }

        private static long memoryBytes() {
            return Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
        }

        /** Sets the transport's credentials; plaintext by default. */
        public Builder credentials(ServerCredentials credentials) {
            mCredentials = credentials;
            return this;
        }

        /** Returns the server. It listens once started. */
        public RpcServer build() {
            return new RpcServer(this);
        }

        private Set<String> serviceNames() {
            return mServices.stream()
                    .map(s -> s.bindService().getServiceDescriptor().getName())
                    .collect(Collectors.toSet());
        }

        private Server newServer() {
            RpcConnections connections = new RpcConnections(mMaxHeldBytes, MAX_CONNECTIONS);
            NettyServerBuilder b =
                    NettyServerBuilder.forAddress(mListen, mCredentials)
                            .bossEventLoopGroup(mLoops.group())
                            .workerEventLoopGroup(mLoops.group())
                            .channelFactory(connections::newServerChannel)
                            .withChildOption(
                                    ChannelOption.RECVBUF_ALLOCATOR, EventLoops.oneReadATurn())
                            .maxConcurrentCallsPerConnection(MAX_CALLS_OF_A_CONNECTION)
                            .executor(mExecutor)
                            .maxInboundMessageSize(mMaxMessageBytes)
                            .permitKeepAliveWithoutCalls(true)
                            .permitKeepAliveTime(
                                    MIN_KEEP_ALIVE_TIME.toMillis(), TimeUnit.MILLISECONDS)
                            .addStreamTracerFactory(connections.tracers())
                            .addStreamTracerFactory(mTraffic.serverTracers(serviceNames()));
            mServices.forEach(b::addService);
            return b.build();
        }
    }
}
