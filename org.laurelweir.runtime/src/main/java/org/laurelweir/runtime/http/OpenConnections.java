package org.laurelweir.runtime.http;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Bounds the connections of a server. At the limit a new one takes the place of the one that has
 * been without a whole request for longest, so that clients which only connect keep nobody out.
 * Thread-safe.
 */
public final class OpenConnections {
    private final IntSupplier mMaxCount;

    /** The connections without a whole request, those that have had none for longest first. */
    private final Set<Channel> mIdle = new LinkedHashSet<>();

    private int mCount;

    /**
     * Creates a bound without connections.
     *
     * @param maxCount maximum number of connections
     */
    public OpenConnections(int maxCount) {
        this(() -> maxCount);
    }

    /**
     * Creates a bound without connections.
     *
     * @param maxCount returns the maximum number of connections in force
     */
    public OpenConnections(IntSupplier maxCount) {
        mMaxCount = maxCount;
    }

    /** Returns the number of connections. */
    public synchronized int count() {
        return mCount;
    }

    /**
     * Adds a new connection until it is closed.
     *
     * @return the connection to close for it, which is the new one if all others have requests;
     *     empty if there are not too many
     */
    public Optional<Channel> add(Channel connection) {
        Channel excess = null;
        synchronized (this) {
            mCount++;
            mIdle.add(connection);
            if (mCount > mMaxCount.getAsInt()) {
                excess = mIdle.iterator().next();
                mIdle.remove(excess);
            }
        }
        connection.closeFuture().addListener(f -> remove(connection));
        return Optional.ofNullable(excess);
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
            mIdle.add(connection);
        }
    }
}
