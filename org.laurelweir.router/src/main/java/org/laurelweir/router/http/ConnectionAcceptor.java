package org.laurelweir.router.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.laurelweir.routing.ConnectionAdmission;

/**
 * Closes new connections that the router can't serve, before it reads a byte of them. Closing a
 * connection with unread bytes resets it, so that its caller knows that nothing was read. Of the
 * connections that wait together, the latest are accepted: the callers of the others have waited
 * longest, and may have given up.
 */
final class ConnectionAcceptor extends ChannelInboundHandlerAdapter {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ConnectionAdmission mAdmission = new ConnectionAdmission();
    private final List<SocketChannel> mWaiting = new ArrayList<>();
    private final RequestLag mLag;
    private final InstantSource mClock;
    private final Runnable mOnClosedUnread;
    private final CallerConnections mConnections;
    private long mClosedCount;

    ConnectionAcceptor(Acceptance acceptance, CallerConnections connections) {
        mLag = acceptance.lag();
        mClock = acceptance.clock();
        mOnClosedUnread = acceptance.onClosedUnread();
        mConnections = connections;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mWaiting.add((SocketChannel) message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        Duration lag = mLag.current();
        int inHand = mConnections.unreadCount() + mLag.undecidedCount();
        int room = mAdmission.room(mClock.instant(), mWaiting.size(), inHand, lag);
        int firstAccepted = Math.max(0, mWaiting.size() - room);
        for (int i = 0; i < mWaiting.size(); i++) {
            SocketChannel connection = mWaiting.get(i);
            if (i >= firstAccepted && mConnections.admit(connection)) {
                context.fireChannelRead(connection);
            } else {
                closeUnread(connection, lag);
            }
        }
        mWaiting.clear();
        mLag.probe(context.channel().eventLoop());
        context.fireChannelReadComplete();
    }

    private void closeUnread(SocketChannel connection, Duration lag) {
        mOnClosedUnread.run();
        mClosedCount++;
        sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "%d connections closed unread since the start; %d open, limit %d, lag %d ms",
                mClosedCount, mConnections.count(), mAdmission.limit(), lag.toMillis());
        connection.config().setSoLinger(0);
        connection.unsafe().closeForcibly();
    }
}
