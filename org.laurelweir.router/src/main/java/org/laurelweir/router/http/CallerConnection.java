package org.laurelweir.router.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.process.Program;

/**
 * One caller's connection: reads one request after the other and answers them in that order.
 *
 * <p>While an answer is under way the channel is read on, or a caller that hangs up would be
 * noticed only with the next write. What a pipelining caller sends meanwhile is kept up to a bound,
 * at which reading stops.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_WAITING_PARTS = 64;
    private static final long LINGER_SECONDS = 2;

    private final CallerConnections mConnections;
    private final Limits mLimits;
    private final RequestReader mReader;
    private final Queue<HttpObject> mWaiting = new ArrayDeque<>();
    private Channel mChannel;
    private RequestTimer mTimer;
    private ChannelAnswer mAnswer;
    private long mCaller;
    private boolean mBytesSeen;
    private boolean mClosing;

    CallerConnection(CallerConnections connections) {
        mConnections = connections;
        mLimits = connections.limits();
        mReader = new RequestReader(mLimits.bodyBytes());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mTimer = new RequestTimer(mChannel.eventLoop(), this::onRequestTooSlow);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (!mConnections.opened(mChannel)) {
            String message = "this router has too many connections";
            refuse(ResultCode.TOO_MANY_CONNECTIONS, message, Duration.ofSeconds(1));
            return;
        }
        mTimer.start(mLimits.idleTime());
        // Accepted just before the listener was closed, and so perhaps not told yet.
        if (mConnections.isStopping()) {
            onStopping();
        }
    }

    /** Notes that the caller began, or goes on, to send a request. */
    void onBytes() {
        if (!mBytesSeen && mAnswer == null && !mClosing) {
            mBytesSeen = true;
            mTimer.start(mLimits.requestTime());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mAnswer == null) {
            take((HttpObject) message);
            return;
        }
        mWaiting.add((HttpObject) message);
        if (mWaiting.size() >= MAX_WAITING_PARTS) {
            mChannel.config().setAutoRead(false);
        }
    }

    private void take(HttpObject part) {
        try {
            if (part instanceof HttpRequest head) {
                mReader.onHead(head);
                sendContinue(head);
            }
            if (part instanceof HttpContent content && mReader.isReading()) {
                mReader.onContent(content);
                if (content instanceof LastHttpContent) {
                    serve(mReader.finish());
                }
            }
        } catch (LaurelweirException e) {
            refuse(e.getCode(), e.getMessage(), Duration.ZERO);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void sendContinue(HttpRequest head) {
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void serve(HttpCall call) {
        mTimer.stop();
        boolean close = call.headers().containsValue("connection", "close", true);
        newAnswer(close, this::onAnswered);
        mConnections.handler().onCall(mCaller, call, mAnswer);
    }

    private void newAnswer(boolean close, Runnable onWritten) {
        mCaller = mConnections.newCaller();
        mAnswer = new ChannelAnswer(mChannel, mCaller, mConnections, close, onWritten);
    }

    private void onAnswered() {
        if (mAnswer.closes() || mConnections.isStopping()) {
            closeGently();
            return;
        }
        mAnswer = null;
        mBytesSeen = !mWaiting.isEmpty();
        mTimer.start(mBytesSeen ? mLimits.requestTime() : mLimits.idleTime());
        while (mAnswer == null && !mClosing && !mWaiting.isEmpty()) {
            take(mWaiting.remove());
        }
        mChannel.config().setAutoRead(mWaiting.size() < MAX_WAITING_PARTS);
    }

    /** Answers what can't be served and closes: where the next request begins is not known. */
    private void refuse(ResultCode code, String message, Duration retryAfter) {
        mTimer.stop();
        newAnswer(true, this::closeGently);
        mClosing = true;
        mAnswer.error(code, message, retryAfter);
    }

    /**
     * Closes the sending half first and drops what still arrives for a while. Closing at once while
     * the caller still sends would reset the connection, and it would lose its answer.
     */
    private void closeGently() {
        mClosing = true;
        mTimer.stop();
        releaseWaiting();
        if (!mChannel.isActive()) {
            return;
        }
        ((SocketChannel) mChannel).shutdownOutput();
        mChannel.config().setAutoRead(true);
        mChannel.eventLoop().schedule(() -> mChannel.close(), LINGER_SECONDS, TimeUnit.SECONDS);
    }

    private void onRequestTooSlow() {
        if (!mBytesSeen) {
            mChannel.close();
            return;
        }
        refuse(ResultCode.REQUEST_TOO_SLOW, "the request took too long to arrive", Duration.ZERO);
    }

    /** Closes an idle connection; one with a request under way is closed after its answer. */
    void onStopping() {
        if (mAnswer != null) {
            mAnswer.close();
        } else if (!mBytesSeen) {
            closeGently();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mTimer.stop();
        releaseWaiting();
        if (mAnswer != null && !mAnswer.isDone()) {
            mConnections.handler().onGone(mCaller);
        }
        mClosing = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Program.endOnError("a connection failed", cause);
        // A reset or a write that stalled: the caller is gone either way.
        context.close();
    }

    private void releaseWaiting() {
        mWaiting.forEach(ReferenceCountUtil::release);
        mWaiting.clear();
    }
}
