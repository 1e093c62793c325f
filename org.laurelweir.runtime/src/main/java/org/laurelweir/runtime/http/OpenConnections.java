package org.laurelweir.runtime.http;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Bounds the connections of a server. At the limit a new one takes the place of the one that has
 * been without a whole request for longest, so that clients which only connect keep nobody out.
 * Thread-safe.
 */
public final class OpenConnections {
    private final IntSupplier mMaxCount;
    private final Duration mMinIdleTime;

    /** Since when connections have had no whole request, in nanoseconds, the longest first. */
    private final Map<Channel, Long> mIdle = new LinkedHashMap<>();

    private int mCount;

    /**
     * Creates a bound without connections.
     *
     * @param maxCount maximum number of connections
     */
    public OpenConnections(int maxCount) {
        this(() -> maxCount, Duration.ZERO);
    }

    /**
     * Creates a bound without connections.
     *
     * @param maxCount returns the maximum number of connections in force
     * @param minIdleTime for how long a connection without a whole request does not give way
     */
    public OpenConnections(IntSupplier maxCount, Duration minIdleTime) {
        mMaxCount = maxCount;
        mMinIdleTime = minIdleTime;
    }

    /** Returns the number of connections. */
    public synchronized int count() {
        return mCount;
    }

    /**
     * Adds a new connection until it is closed.
     *
     * @return the connection to close for it, which is the new one if no other gives way, and then
     *     it is not counted; empty if there are not too many
     */
    public Optional<Channel> add(Channel connection) {
        Optional<Channel> excess = tryAdd(connection);
        if (excess.isEmpty() || excess.get() != connection) {
            connection.closeFuture().addListener(f -> remove(connection));
        }
        return excess;
    }

    private synchronized Optional<Channel> tryAdd(Channel connection) {
        Optional<Channel> excess = Optional.empty();
        if (mCount >= mMaxCount.getAsInt()) {
            excess = longestIdle();
            if (excess.isEmpty()) {
                return Optional.of(connection);
            }
            mIdle.remove(excess.get());
        }
        mCount++;
        mIdle.put(connection, System.nanoTime());
        return excess;
    }

    private Optional<Channel> longestIdle() {
        if (mIdle.isEmpty()) {
            return Optional.empty();
        }
        Map.Entry<Channel, Long> first = mIdle.entrySet().iterator().next();
        boolean givesWay = System.nanoTime() - first.getValue() >= mMinIdleTime.toNanos();
        return givesWay ? Optional.of(first.getKey()) : Optional.empty();
    }

    private synchronized void remove(Channel connection) {
        mCount--;
        mIdle.remove(connection);
    }

    /** Called when a connection has a whole request. */
    public synchronized void onRequest(Channel connection) {
        mIdle.remove(connection);
    }

    /** Called when that request is answered. */
    public synchronized void onAnswered(Channel connection) {
        if (connection.isOpen()) {
            mIdle.put(connection, System.nanoTime());
        }
    }
}
