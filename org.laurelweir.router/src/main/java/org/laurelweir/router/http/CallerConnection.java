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
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.process.Program;

/**
 * One caller's connection. Reads requests one at a time and answers them in order.
 *
 * <p>The channel is also read while an answer is in progress. Otherwise a disconnect of the caller
 * would be noticed only at the next write. Pipelined requests that arrive meanwhile are queued up
 * to a bound, at which reading stops.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_PARTS = 64;
    private static final long LINGER_SECONDS = 2;

    /**
     * Maximum time for which a request waits for memory for its body. A caller whose request is not
     * read for a second may give up.
     */
    private static final Duration MAX_MEMORY_WAIT = Duration.ofMillis(800);

    /** A request waits for memory at most its time divided by this; the rest is for a retry. */
    private static final int MEMORY_WAIT_DIVISOR = 4;

    private final CallerConnections mConnections;
    private final RequestReader mReader = new RequestReader();
    private final BodyReservation mReservation;
    private final Deque<HttpObject> mPipelined = new ArrayDeque<>();
    private Channel mChannel;

    /** The limits for the current request, or for the next one while the connection is idle. */
    private Limits mLimits;

    private RequestTimer mTimer;
    private RequestTimer mMemoryTimer;
    private ChannelAnswer mAnswer;
    private long mCaller;
    private boolean mRequestBegun;
    private boolean mClosing;
    private boolean mHasServed;

    CallerConnection(CallerConnections connections) {
        mConnections = connections;
        mLimits = connections.limits();
        mReservation = new BodyReservation(connections.requestMemory());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mTimer = new RequestTimer(mChannel.eventLoop(), this::onRequestTooSlow);
        mMemoryTimer = new RequestTimer(mChannel.eventLoop(), this::refuseForMemory);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mConnections.register(mChannel);
        mTimer.start(mLimits.idleTime());
        // The connection may have been accepted too late to be notified by CallerServer#drain.
        if (mConnections.isStopping()) {
            onStopping();
        }
    }

    /** Called when bytes of a request arrive. The first bytes start the request's time limit. */
    void onBytesReceived() {
        if (!mRequestBegun && mAnswer == null && !mClosing) {
            mRequestBegun = true;
            updateLimits();
            mTimer.start(mLimits.requestTime());
        }
    }

    /** Takes over the limits in force: a connection may be kept for longer than settings are. */
    private void updateLimits() {
        Limits before = mLimits;
        mLimits = mConnections.limits();
        if (!mLimits.requestTime().equals(before.requestTime())) {
            mChannel.pipeline().replace(WriteTimeoutHandler.class, null, mLimits.newWriteTimeout());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mAnswer == null && !mReservation.isWaiting()) {
            onPart((HttpObject) message);
            return;
        }
        mPipelined.add((HttpObject) message);
        if (mPipelined.size() >= MAX_PIPELINED_PARTS) {
            mChannel.config().setAutoRead(false);
        }
    }

    private void onPart(HttpObject part) {
        try {
            if (part instanceof HttpRequest head) {
                updateLimits();
                mReader.onHead(head, mLimits);
                if (mReader.announcedBytes() > 0 && !reserve(mReader.announcedBytes())) {
                    return;
                }
                if (mReader.isContinueExpected()) {
                    sendContinue();
                }
            }
            if (part instanceof HttpContent content && mReader.isReading()) {
                onContent(content);
            }
        } catch (LaurelweirException e) {
            refuse(e.getCode(), e.getMessage(), Duration.ZERO);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void onContent(HttpContent content) {
        if (!reserve(mReader.neededBytes(content))) {
            if (mReservation.isWaiting()) {
                mPipelined.addFirst(content.retain());
            }
            return;
        }
        mReader.onContent(content);
        if (content instanceof LastHttpContent) {
            HttpCall call = mReader.finish();
            mReservation.shrinkTo(call.body().length);
            serve(call);
        }
    }

    /**
     * Reserves memory for the body. A large body waits for it and is not read meanwhile; a small
     * one, for which there is no memory either, is refused.
     *
     * @return whether the memory is reserved
     */
    private boolean reserve(long bytes) {
        if (mReservation.tryGrow(bytes)) {
            return true;
        }
        Runnable onReserved = () -> mChannel.eventLoop().execute(this::onMemoryReserved);
        if (bytes <= RequestMemory.SMALL_BODY_BYTES || !mReservation.await(bytes, onReserved)) {
            refuseForMemory();
            return false;
        }
        mTimer.stop();
        mMemoryTimer.start(maxMemoryWait());
        mChannel.config().setAutoRead(false);
        return false;
    }

    private Duration maxMemoryWait() {
        String millis = mReader.header(mConnections.dialect().timeLeft());
        try {
            Duration part =
                    Duration.ofMillis(Long.parseLong(millis)).dividedBy(MEMORY_WAIT_DIVISOR);
            return part.compareTo(MAX_MEMORY_WAIT) < 0 ? part : MAX_MEMORY_WAIT;
        } catch (NumberFormatException e) {
            // The caller set no deadline, or one that is refused when the request is resolved.
            return MAX_MEMORY_WAIT;
        }
    }

    private void onMemoryReserved() {
        if (!mReservation.onReserved()) {
            return;
        }
        mMemoryTimer.stop();
        mTimer.start(mLimits.requestTime());
        if (mReader.announcedBytes() > 0 && mReader.isContinueExpected()) {
            sendContinue();
        }
        servePipelined();
    }

    private void refuseForMemory() {
        long bytes = Math.max(mReader.announcedBytes(), mReservation.bytes());
        refuse(
                ResultCode.OVERLOADED,
                "the router has no memory for the request's body",
                mConnections.requestMemory().refuse(bytes));
    }

    private void sendContinue() {
        mChannel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    private void serve(HttpCall call) {
        mTimer.stop();
        if (!mHasServed) {
            mHasServed = true;
            mConnections.onFirstRequest(mChannel);
        }
        boolean close = call.headers().containsValue("connection", "close", true);
        newAnswer(close, this::onAnswered);
        mConnections.handler().onCall(mCaller, call, mAnswer);
    }

    private void newAnswer(boolean close, Runnable onWritten) {
        mCaller = mConnections.nextCaller();
        mAnswer =
                new ChannelAnswer(
                        mChannel, mCaller, mConnections, close, mReservation::release, onWritten);
    }

    private void onAnswered() {
        mReservation.release();
        if (mAnswer.closesConnection() || mConnections.isStopping()) {
            closeGracefully();
            return;
        }
        mAnswer = null;
        updateLimits();
        mRequestBegun = !mPipelined.isEmpty();
        mTimer.start(mRequestBegun ? mLimits.requestTime() : mLimits.idleTime());
        servePipelined();
    }

    private void servePipelined() {
        while (mAnswer == null && !mReservation.isWaiting() && !mClosing && !mPipelined.isEmpty()) {
            onPart(mPipelined.remove());
        }
        boolean reads = !mReservation.isWaiting() && mPipelined.size() < MAX_PIPELINED_PARTS;
        mChannel.config().setAutoRead(reads);
    }

    /** Sends an error and closes: the beginning of the next request can't be determined. */
    private void refuse(ResultCode code, String message, Duration retryAfter) {
        mTimer.stop();
        releaseRequest();
        newAnswer(true, this::closeGracefully);
        mClosing = true;
        mAnswer.error(code, message, retryAfter);
    }

    /**
     * Shuts down the output first and discards input for some seconds before it closes the
     * connection. Closing at once while the caller still sends would reset the connection, and the
     * caller would lose its answer.
     */
    private void closeGracefully() {
        mClosing = true;
        mTimer.stop();
        releaseRequest();
        releasePipelined();
        if (!mChannel.isActive()) {
            return;
        }
        ((SocketChannel) mChannel).shutdownOutput();
        mChannel.config().setAutoRead(true);
        mChannel.eventLoop().schedule(() -> mChannel.close(), LINGER_SECONDS, TimeUnit.SECONDS);
    }

    private void onRequestTooSlow() {
        if (!mRequestBegun) {
            mChannel.close();
            return;
        }
        refuse(ResultCode.REQUEST_TOO_SLOW, "the request took too long to arrive", Duration.ZERO);
    }

    /** Closes an idle connection at once, and any other connection after its answer. */
    void onStopping() {
        if (mAnswer != null) {
            mAnswer.closeConnectionAfter();
        } else if (!mRequestBegun) {
            closeGracefully();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mTimer.stop();
        releaseRequest();
        releasePipelined();
        if (mAnswer != null && !mAnswer.isDone()) {
            mConnections.handler().onGone(mCaller);
        }
        mClosing = true;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Program.haltOnError("a caller's connection failed", cause);
        // A reset or a write timeout. In both cases the caller can't be reached.
        context.close();
    }

    /** Drops what was read of a request, with its memory. */
    private void releaseRequest() {
        mMemoryTimer.stop();
        mReader.reset();
        mReservation.release();
    }

    private void releasePipelined() {
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
    }
}
