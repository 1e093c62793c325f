package org.laurelweir.runtime.rpc;

import io.grpc.BindableService;
import io.grpc.InsecureServerCredentials;
import io.grpc.Server;
import io.grpc.ServerCredentials;
import io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;

/**
 * Serves gRPC services on one address. Calls run on the event loops unless an executor is given, so
 * that a service which blocks has to say so.
 */
public final class RpcServer implements Service {
    private static final Duration SHORTEST_KEEP_ALIVE = Duration.ofSeconds(1);

    private final Builder mSettings;
    private Server mServer;

    private RpcServer(Builder settings) {
        mSettings = settings;
    }

    /**
     * Begins a server.
     *
     * @param loops carry the connections; stopped after the server
     * @param traffic counts the bytes
     */
    public static Builder builder(EventLoops loops, TrafficCounters traffic) {
        return new Builder(loops, traffic);
    }

    /**
     * Listens.
     *
     * @throws LaurelweirException CANNOT_LISTEN if the address is taken or not of this machine
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

    /** Returns the port that listens, also where the operating system chose it. Once started. */
    public int port() {
        return mServer.getPort();
    }

    /** Takes no new connection or call from now on; calls in flight go on. */
    public void drain() {
        if (mServer != null) {
            mServer.shutdown();
        }
    }

    /** Drains, waits for calls in flight at most the grace time, then ends those that are left. */
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

        private final EventLoops mLoops;
        private final TrafficCounters mTraffic;
        private final List<BindableService> mServices = new ArrayList<>();
        private InetSocketAddress mListen = new InetSocketAddress("127.0.0.1", 0);
        private Executor mExecutor = Runnable::run;
        private Duration mGrace = Duration.ofSeconds(5);
        private int mMaxMessageBytes = MAX_MESSAGE_BYTES;
        private ServerCredentials mCredentials = InsecureServerCredentials.create();

        private Builder(EventLoops loops, TrafficCounters traffic) {
            mLoops = loops;
            mTraffic = traffic;
        }

        /**
         * Sets where to listen; 127.0.0.1 and any free port where not called.
         *
         * @param ip an IP number
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

        /** Sets how long a stop waits for calls in flight; 5 s where not called. */
        public Builder grace(Duration grace) {
            mGrace = grace;
            return this;
        }

        /** Sets the largest message taken; 32 MiB where not called. */
        public Builder maxMessageBytes(int bytes) {
            mMaxMessageBytes = bytes;
            return this;
        }

        /** Sets the transport's security; plaintext where not called. */
        public Builder credentials(ServerCredentials credentials) {
            mCredentials = credentials;
            return this;
        }

        /** Returns the server, not started. */
        public RpcServer build() {
            return new RpcServer(this);
        }

        private Server newServer() {
            NettyServerBuilder b =
                    NettyServerBuilder.forAddress(mListen, mCredentials)
                            .bossEventLoopGroup(mLoops.group())
                            .workerEventLoopGroup(mLoops.group())
                            .channelType(mLoops.serverType())
                            .executor(mExecutor)
                            .maxInboundMessageSize(mMaxMessageBytes)
                            .permitKeepAliveWithoutCalls(true)
                            .permitKeepAliveTime(
                                    SHORTEST_KEEP_ALIVE.toMillis(), TimeUnit.MILLISECONDS)
                            .addStreamTracerFactory(mTraffic.serverTracers());
            mServices.forEach(b::addService);
            return b.build();
        }
    }
}
