package org.laurelweir.router.http;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.laurelweir.runtime.http.OpenConnections;
import org.laurelweir.runtime.http.PartialRequests;
import org.laurelweir.runtime.http.RequestMemory;

/** State shared by all callers' connections: limits, counters and the progress of a stop. */
final class CallerConnections {
    /**
     * After this time a connection counts as opened in advance; a caller that has a request sends
     * it at once.
     */
    private static final long MAX_UNREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A caller whose connection has had no request for longer gives way to new ones. */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(3);

    private final CallHandler mHandler;
    private final Supplier<Limits> mLimits;
    private final RequestNames mNames;
    private final HttpDialect mDialect;
    private final UnreadAnswers mUnreadAnswers;
    private final RequestMemory mRequestMemory;
    private final PartialRequests mPartialRequests;
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Queue<UnreadConnection> mUnread = new ConcurrentLinkedQueue<>();
    private final OpenConnections mOpen;
    private final AtomicLong mLastCaller = new AtomicLong();
    private volatile boolean mCloseAfterAnswers;
    private volatile boolean mStopping;

    CallerConnections(
            CallHandler handler,
            Supplier<Limits> limits,
            RequestNames names,
            HttpDialect dialect,
            Acceptance acceptance) {
        mUnreadAnswers = acceptance.unreadAnswers();
        mRequestMemory = acceptance.requestMemory();
        mPartialRequests = acceptance.partialRequests();
        mDialect = dialect;
        mOpen = new OpenConnections(() -> limits().connections(), MIN_IDLE_TIME);
        mHandler = handler;
        mLimits = limits;
        mNames = names;
    }

    /** A new connection and when it was accepted, in nanoseconds. */
    private record UnreadConnection(Channel channel, long nanos) {}

    CallHandler handler() {
        return mHandler;
    }

    Limits limits() {
        return mLimits.get();
    }

    UnreadAnswers unreadAnswers() {
        return mUnreadAnswers;
    }

    RequestMemory requestMemory() {
        return mRequestMemory;
    }

    PartialRequests partialRequests() {
        return mPartialRequests;
    }

    HttpDialect dialect() {
        return mDialect;
    }

    long nextCaller() {
        return mLastCaller.incrementAndGet();
    }

    String requestName(long caller) {
        return mNames.nameOf(caller);
    }

    /**
     * Counts a new connection until it is closed. At their limit it takes the place of the oldest
     * one that has not sent a request for some time, if there is one.
     *
     * @return whether it may stay open
     */
    boolean admit(Channel channel) {
        Optional<Channel> excess = mOpen.add(channel);
        if (excess.isPresent() && excess.get() == channel) {
            return false;
        }
        excess.ifPresent(Channel::close);
        mUnread.add(new UnreadConnection(channel, System.nanoTime()));
        return true;
    }

    /** Returns the number of new connections from which no request has been read yet. */
    int unreadCount() {
        long oldest = System.nanoTime() - MAX_UNREAD_NANOS;
        mUnread.removeIf(u -> u.nanos() - oldest < 0 || !u.channel().isOpen());
        return mUnread.size();
    }

    /** Called when the first request of a connection has been read. */
    void onFirstRequest(Channel channel) {
        mUnread.removeIf(u -> u.channel() == channel);
        mOpen.onRequest(channel);
    }

    /** Registers a connection that has been accepted. */
    void register(Channel channel) {
        mChannels.add(channel);
    }

    /** Returns the number of connections. */
    int count() {
        return mOpen.count();
    }

    /** Returns whether connections are closed after their next answer. */
    boolean closesAfterAnswers() {
        return mCloseAfterAnswers || mStopping;
    }

    void closeAfterAnswers() {
        mCloseAfterAnswers = true;
    }

    /** Returns whether the router stops, so that idle connections are closed, too. */
    boolean isStopping() {
        return mStopping;
    }

    void markStopping() {
        mStopping = true;
    }

    ChannelGroup channels() {
        return mChannels;
    }
}
