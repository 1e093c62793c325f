package org.laurelweir.router.http;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** State shared by all callers' connections: limits, counters and the progress of a stop. */
final class CallerConnections {
    private final CallHandler mHandler;
    private final Supplier<Limits> mLimits;
    private final RequestNames mNames;
    private final HttpDialect mDialect;
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger mCount = new AtomicInteger();
    private final AtomicLong mLastCaller = new AtomicLong();
    private volatile boolean mCloseAfterAnswers;
    private volatile boolean mStopping;

    CallerConnections(
            CallHandler handler, Supplier<Limits> limits, RequestNames names, HttpDialect dialect) {
        mDialect = dialect;
        mHandler = handler;
        mLimits = limits;
        mNames = names;
    }

    CallHandler handler() {
        return mHandler;
    }

    Limits limits() {
        return mLimits.get();
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

    /** Registers a connection. Returns whether the number of connections is within the limit. */
    boolean register(Channel channel) {
        mChannels.add(channel);
        channel.closeFuture().addListener(f -> mCount.decrementAndGet());
        return mCount.incrementAndGet() <= limits().connections();
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
