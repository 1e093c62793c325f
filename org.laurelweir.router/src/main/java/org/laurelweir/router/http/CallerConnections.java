package org.laurelweir.router.http;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** What all connections of callers share: the limits, the counts, and whether the router stops. */
final class CallerConnections {
    private final CallHandler mHandler;
    private final Supplier<Limits> mLimits;
    private final RequestNames mNames;
    private final HttpDialect mDialect;
    private final ChannelGroup mOpen = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger mCount = new AtomicInteger();
    private final AtomicLong mLastCaller = new AtomicLong();
    private volatile boolean mLeaving;
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

    long newCaller() {
        return mLastCaller.incrementAndGet();
    }

    String requestName(long caller) {
        return mNames.nameOf(caller);
    }

    /** Counts a connection in; returns whether it is within the limit. */
    boolean opened(Channel channel) {
        mOpen.add(channel);
        channel.closeFuture().addListener(f -> mCount.decrementAndGet());
        return mCount.incrementAndGet() <= limits().connections();
    }

    /** Returns whether connections are to be closed after the answer that is under way. */
    boolean isLeaving() {
        return mLeaving || mStopping;
    }

    void leaving() {
        mLeaving = true;
    }

    /** Returns whether connections without a request are to be closed. */
    boolean isStopping() {
        return mStopping;
    }

    void stopping() {
        mStopping = true;
    }

    ChannelGroup open() {
        return mOpen;
    }
}
