package org.laurelweir.runtime.rpc;

import io.grpc.ChannelCredentials;
import io.grpc.ConnectivityState;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.laurelweir.lib.Service;

/**
 * A pool with one gRPC channel per address, shared by all users in the process. Get the channel
 * from the pool for each call: a channel that is kept may have been shut down. Thread-safe.
 */
public final class Channels implements Service {
    private final Builder mSettings;
    private final Map<String, Entry> mEntries = new ConcurrentHashMap<>();
    private Future<?> mSweepTask;

    private Channels(Builder settings) {
        mSettings = settings;
    }

    /**
     * Returns a builder of a pool.
     *
     * @param loops threads that serve the connections; stop them after the pool
     * @param traffic counts the bytes on the wire
     */
    public static Builder builder(EventLoops loops, TrafficCounters traffic) {
        return new Builder(loops, traffic);
    }

    /** Starts the periodic removal of unused channels. */
    @Override
    public void start() {
        long period = mSettings.mIdleClose.toMillis();
        mSweepTask =
                mSettings
                        .mLoops
                        .group()
                        .scheduleWithFixedDelay(
                                this::dropUnused, period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the channel to an address. It connects on its first call.
     *
     * @param address host:port, with an IP address as the host
     */
    public ManagedChannel get(String address) {
        Instant now = mSettings.mClock.instant();
        return mEntries.compute(address, (a, e) -> e == null ? open(a, now) : e.withLastUsed(now))
                .channel();
    }

    /**
     * Returns a channel to an address other than the suspect one. A network device between the two
     * ends may have lost the state of a connection; the connection then stays silent for good,
     * while a new one works. Calls on the suspect channel may continue until they end, because the
     * connection may only be slow. If several callers suspect the same channel, the first of them
     * opens the new one for all.
     *
     * @param address host:port, with an IP address as the host
     * @param suspect the channel whose connection does not respond
     */
    public ManagedChannel reconnect(String address, ManagedChannel suspect) {
        Instant now = mSettings.mClock.instant();
        return mEntries.compute(
                        address,
                        (a, e) ->
                                e == null || e.channel() == suspect
                                        ? open(a, now)
                                        : e.withLastUsed(now))
                .channelReplacing(suspect);
    }

    /**
     * Returns a new channel to an address. The current one is shut down once its calls have ended.
     *
     * @param address host:port, with an IP address as the host
     */
    public ManagedChannel reconnect(String address) {
        Entry current = mEntries.get(address);
        return current == null ? get(address) : reconnect(address, current.channel());
    }

    /** Removes the channels that were not requested, and carried no call, during the idle time. */
    void dropUnused() {
        Instant unusedSince = mSettings.mClock.instant().minus(mSettings.mIdleClose);
        for (String address : mEntries.keySet()) {
            mEntries.computeIfPresent(
                    address, (a, e) -> e.isUnusedSince(unusedSince) ? e.retire() : e);
        }
    }

    /** Closes all connections. Calls in flight fail. */
    @Override
    public void stop() {
        if (mSweepTask != null) {
            mSweepTask.cancel(false);
        }
        List<Entry> entries = new ArrayList<>(mEntries.values());
        mEntries.clear();
        entries.forEach(e -> e.channel().shutdownNow());
    }

    private Entry open(String address, Instant now) {
        return new Entry(mSettings.newChannel(address), now);
    }

    private record Entry(ManagedChannel channel, Instant lastUsed) {
        Entry withLastUsed(Instant now) {
            return new Entry(channel, now);
        }

        ManagedChannel channelReplacing(ManagedChannel suspect) {
            suspect.shutdown();
            return channel;
        }

        boolean isUnusedSince(Instant unusedSince) {
            return lastUsed.isBefore(unusedSince)
                    && channel.getState(false) == ConnectivityState.IDLE;
        }

        Entry retire() {
            channel.shutdown();
            return null;
        }
    }

    /** Collects a pool's settings. */
    public static final class Builder {
        private static final int MAX_MESSAGE_BYTES = 32 << 20;

        private final EventLoops mLoops;
        private final TrafficCounters mTraffic;
        private InstantSource mClock = InstantSource.system();
        private Duration mKeepAliveTime = Duration.ofSeconds(20);
        private Duration mKeepAliveTimeout = Duration.ofSeconds(5);
        private Duration mIdleClose = Duration.ofMinutes(5);
        private int mMaxMessageBytes = MAX_MESSAGE_BYTES;
        private ChannelCredentials mCredentials = InsecureChannelCredentials.create();

        private Builder(EventLoops loops, TrafficCounters traffic) {
            mLoops = loops;
            mTraffic = traffic;
        }

        /**
         * Sets the clock that determines which channels are unused; the system clock by default.
         */
        public Builder clock(InstantSource clock) {
            mClock = clock;
            return this;
        }

        /**
         * Sets how a dead connection is detected while calls are in flight; 20 s and 5 s by
         * default.
         *
         * @param time time without data from the other end after which a keep-alive ping is sent
         * @param timeout time to wait for the acknowledgement, after which the connection and its
         *     calls fail
         */
        public Builder keepAlive(Duration time, Duration timeout) {
            mKeepAliveTime = time;
            mKeepAliveTimeout = timeout;
            return this;
        }

        /** Sets the time without calls after which a connection is closed; 5 minutes by default. */
        public Builder idleClose(Duration idleClose) {
            mIdleClose = idleClose;
            return this;
        }

        /** Sets the maximum size of a received message; 32 MiB by default. */
        public Builder maxMessageBytes(int bytes) {
            mMaxMessageBytes = bytes;
            return this;
        }

        /** Sets the transport's credentials; plaintext by default. */
        public Builder credentials(ChannelCredentials credentials) {
            mCredentials = credentials;
            return this;
        }

        /** Returns the pool. It has no connections yet. */
        public Channels build() {
            return new Channels(this);
        }

        private ManagedChannel newChannel(String address) {
            int colon = address.lastIndexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            InetSocketAddress socket = new InetSocketAddress(address.substring(0, colon), port);
            return NettyChannelBuilder.forAddress(socket, mCredentials)
                    .eventLoopGroup(mLoops.group())
                    .channelType(mLoops.clientType())
                    .directExecutor()
                    .disableRetry()
                    .keepAliveTime(mKeepAliveTime.toMillis(), TimeUnit.MILLISECONDS)
                    .keepAliveTimeout(mKeepAliveTimeout.toMillis(), TimeUnit.MILLISECONDS)
                    .idleTimeout(mIdleClose.toMillis(), TimeUnit.MILLISECONDS)
                    .maxInboundMessageSize(mMaxMessageBytes)
                    .intercept(mTraffic.clientInterceptor())
                    .build();
        }
    }
}
