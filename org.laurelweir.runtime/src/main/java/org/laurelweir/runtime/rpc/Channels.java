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
 * One connection for each address that is in use, shared by all callers in the process. Take the
 * channel anew for each call: one kept for long may have been retired. Thread-safe.
 */
public final class Channels implements Service {
    private final Builder mSettings;
    private final Map<String, Entry> mEntries = new ConcurrentHashMap<>();
    private Future<?> mSweep;

    private Channels(Builder settings) {
        mSettings = settings;
    }

    /**
     * Begins a pool.
     *
     * @param loops carry the connections; stopped after the pool
     * @param traffic counts the bytes
     */
    public static Builder builder(EventLoops loops, TrafficCounters traffic) {
        return new Builder(loops, traffic);
    }

    /** Begins to drop channels that are out of use. */
    @Override
    public void start() {
        long period = mSettings.mIdleClose.toMillis();
        mSweep =
                mSettings
                        .mLoops
                        .group()
                        .scheduleWithFixedDelay(
                                this::dropUnused, period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the channel to an address; it connects with its first call.
     *
     * @param address host:port with an IP number
     */
    public ManagedChannel get(String address) {
        Instant now = mSettings.mClock.instant();
        return mEntries.compute(address, (a, e) -> e == null ? open(a, now) : e.usedAt(now))
                .channel();
    }

    /**
     * Returns a channel to an address other than the suspect one. Something between the two ends
     * may have lost track of a connection: it stays silent for good while a new one works. Calls on
     * the suspect one may go on until they end, as it may be merely slow. The first of many callers
     * that suspect the same connection opens the new one for all.
     *
     * @param address host:port with an IP number
     * @param suspect the channel whose connection is suspect
     */
    public ManagedChannel fresh(String address, ManagedChannel suspect) {
        Instant now = mSettings.mClock.instant();
        return mEntries.compute(
                        address,
                        (a, e) ->
                                e == null || e.channel() == suspect ? open(a, now) : e.usedAt(now))
                .channelAfter(suspect);
    }

    /**
     * Returns a new channel to an address in place of the present one, which is retired.
     *
     * @param address host:port with an IP number
     */
    public ManagedChannel fresh(String address) {
        Entry present = mEntries.get(address);
        return present == null ? get(address) : fresh(address, present.channel());
    }

    /** Drops the channels that were not asked for, and carried no call, for the idle time. */
    void dropUnused() {
        Instant latest = mSettings.mClock.instant().minus(mSettings.mIdleClose);
        for (String address : mEntries.keySet()) {
            mEntries.computeIfPresent(address, (a, e) -> e.isUnusedSince(latest) ? e.retire() : e);
        }
    }

    /** Ends every connection; calls in flight fail. */
    @Override
    public void stop() {
        if (mSweep != null) {
            mSweep.cancel(false);
        }
        List<Entry> entries = new ArrayList<>(mEntries.values());
        mEntries.clear();
        entries.forEach(e -> e.channel().shutdownNow());
    }

    private Entry open(String address, Instant now) {
        return new Entry(mSettings.newChannel(address), now);
    }

    private record Entry(ManagedChannel channel, Instant used) {
        Entry usedAt(Instant now) {
            return new Entry(channel, now);
        }

        ManagedChannel channelAfter(ManagedChannel suspect) {
            suspect.shutdown();
            return channel;
        }

        boolean isUnusedSince(Instant latest) {
            return used.isBefore(latest) && channel.getState(false) == ConnectivityState.IDLE;
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

        /** Sets the clock that tells which channels are out of use. */
        public Builder clock(InstantSource clock) {
            mClock = clock;
            return this;
        }

        /**
         * Sets how a dead connection is found while calls are in flight; 20 s and 5 s where not
         * called.
         *
         * @param time of silence after which the other end is asked for a sign
         * @param timeout for the sign, after which the connection and its calls fail
         */
        public Builder keepAlive(Duration time, Duration timeout) {
            mKeepAliveTime = time;
            mKeepAliveTimeout = timeout;
            return this;
        }

        /** Sets after how long without calls a connection is closed; 5 minutes where not called. */
        public Builder idleClose(Duration idleClose) {
            mIdleClose = idleClose;
            return this;
        }

        /** Sets the largest message taken; 32 MiB where not called. */
        public Builder maxMessageBytes(int bytes) {
            mMaxMessageBytes = bytes;
            return this;
        }

        /** Sets the transport's security; plaintext where not called. */
        public Builder credentials(ChannelCredentials credentials) {
            mCredentials = credentials;
            return this;
        }

        /** Returns the pool, with no connection. */
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
