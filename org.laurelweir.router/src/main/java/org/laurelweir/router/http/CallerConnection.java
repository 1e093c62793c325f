package org.laurelweir.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.time.Duration;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.http.LingeringClose;
import org.laurelweir.runtime.http.PartialRequests;
import org.laurelweir.runtime.http.RequestDecoder;
import org.laurelweir.runtime.http.RequestMemory;
import org.laurelweir.runtime.http.RequestReservation;
import org.laurelweir.runtime.http.RequestTimer;
import org.laurelweir.runtime.http.ResponseEncoder;
import org.laurelweir.runtime.process.Program;

/**
 * One caller's connection. Reads requests one at a time and answers them in order.
 *
 * <p>The channel is also read while an answer is in progress. Otherwise a disconnect of the caller
 * would be noticed only at the next write. What arrives meanwhile of pipelined requests is held as
 * it came, up to a bound, at which reading stops.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
        implements PartialRequests.Holder {
    private static final int MAX_PIPELINED_BYTES = 16 << 10;

    /**
     * Maximum time for which a request waits for memory. A caller whose request is not read for a
     * second may give up.
     */
    private static final Duration MAX_MEMORY_WAIT = Duration.ofMillis(800);

    /** A request waits for memory at most its time divided by this; the rest is for a retry. */
    private static final int MEMORY_WAIT_DIVISOR = 4;

    private final CallerConnections mConnections;
    private final RequestDecoder mDecoder = new RequestDecoder();
    private final RequestReader mReader = new RequestReader();
    private final RequestReservation mReservation;
    private final ResponseEncoder mEncoder;
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

    /** The memory of the current request's head. */
    private int mHeadMemory;

    private boolean mDropsRest;
    private LingeringClose mClose;

    CallerConnection(CallerConnections connections, ResponseEncoder encoder) {
        mConnections = connections;
        mEncoder = encoder;
        mLimits = connections.limits();
        mReservation = new RequestReservation(connections.requestMemory(), this::giveUpReading);
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

    /** The first bytes of a request start its time limit. */
    private void onBytesReceived() {
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
        ByteBuf bytes = (ByteBuf) message;
        if (mClosing || mDropsRest) {
            mClose.discard(bytes);
            return;
        }
        onBytesReceived();
        mDecoder.add(bytes);
        readParts();
    }

    /** Reads on as far as bytes have come, to the end of one request. */
    private void readParts() {
        try {
            boolean progress = true;
            while (progress && mAnswer == null && !mReservation.isWaiting()) {
                progress = mReader.isReading() ? readBody() : readHead();
            }
        } catch (LaurelweirException e) {
            refuse(e.getCode(), e.getMessage(), Duration.ZERO);
        }
        holdRest();
    }

    private boolean readHead() {
        updateLimits();
        if (!mDecoder.findHead(mLimits.headerBytes())) {
            return false;
        }
        if (!reserve(mDecoder.headMemory())) {
            return false;
        }
        mHeadMemory = mDecoder.headMemory();
        HttpRequest head = mDecoder.takeHead();
        mEncoder.onRequest(head.method());
        mReader.onHead(head, mLimits);
        if (mReader.announcedBytes() > 0 && !reserve(mHeadMemory + mReader.announcedBytes())) {
            return false;
        }
        sendContinueIfExpected();
        return true;
    }

    private boolean readBody() {
        long memory = mHeadMemory + mReader.neededBytes(mDecoder.readableBytes());
        if (!mDecoder.isComplete() && !reserve(memory)) {
            return false;
        }
        mReader.onContent(mDecoder.nextBody(mLimits.headerBytes()));
        if (!mDecoder.isComplete()) {
            return mDecoder.hasInput();
        }
        mDecoder.beginNext();
        mReservation.onWhole();
        HttpCall call = mReader.finish();
        mReservation.shrinkTo(mHeadMemory + call.body().length);
        serve(call);
        return true;
    }

    /** Holds what has come of a head, or of requests after the one that is being answered. */
    private void holdRest() {
        if (mClosing || !mChannel.isActive()) {
            mDecoder.release();
        } else {
            mDecoder.compact();
        }
        int held = mDecoder.heldBytes();
        mConnections.partialRequests().set(this, held);
        boolean reads = mAnswer == null || mClosing || held < MAX_PIPELINED_BYTES;
        mChannel.config().setAutoRead(reads && !mReservation.isWaiting());
    }

    @Override
    public void giveUp() {
        mChannel.eventLoop().execute(this::dropRest);
    }

    /**
     * Drops an incomplete head, or the requests after the one that is being answered: these have
     * not run, and their caller sees the connection close after the answer.
     */
    private void dropRest() {
        if (mClosing) {
            return;
        }
        if (mAnswer == null) {
            refuseForMemory();
            return;
        }
        mDropsRest = true;
        mClose = newClose();
        mDecoder.release();
        mConnections.partialRequests().set(this, 0);
        mAnswer.closeConnectionAfter();
    }

    /**
     * Reserves memory for the request. A large one waits for it and is not read meanwhile; a small
     * one, for which there is no memory either, is refused.
     *
     * @return whether the memory is reserved
     */
    private boolean reserve(long bytes) {
        if (mReservation.tryGrow(bytes)) {
            return true;
        }
        Runnable onReserved = () -> mChannel.eventLoop().execute(this::onMemoryReserved);
        if (bytes <= RequestMemory.SMALL_BYTES || !mReservation.await(bytes, onReserved)) {
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
        if (mReader.announcedBytes() > 0) {
            sendContinueIfExpected();
        }
        readParts();
    }

    private void giveUpReading() {
        mChannel.eventLoop().execute(this::refuseIfReading);
    }

    private void refuseIfReading() {
        if (mReader.isReading() && !mClosing) {
            refuseAsTooSlow();
        }
    }

    private void refuseAsTooSlow() {
        refuse(ResultCode.REQUEST_TOO_SLOW, "the request took too long to arrive", Duration.ZERO);
    }

    private void refuseForMemory() {
        long bytes = Math.max(mReader.announcedBytes(), mReservation.bytes());
        refuse(
                ResultCode.OVERLOADED,
                "the router has no memory for the request",
                mReservation.refuse(bytes));
    }

    private void sendContinueIfExpected() {
        if (mReader.isContinueExpected()) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
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
        mRequestBegun = mDecoder.hasInput();
        mTimer.start(mRequestBegun ? mLimits.requestTime() : mLimits.idleTime());
        readParts();
    }

    /** Sends an error and closes: the beginning of the next request can't be determined. */
    private void refuse(ResultCode code, String message, Duration retryAfter) {
        mTimer.stop();
        releaseRequest();
        newAnswer(true, this::closeGracefully);
        mClosing = true;
        mClose = newClose();
        mAnswer.error(code, message, retryAfter);
    }

    private LingeringClose newClose() {
        long maxBytes = mLimits.bodyBytes() + 2L * mLimits.headerBytes();
        return new LingeringClose(mChannel, maxBytes);
    }

    private void closeGracefully() {
        mClosing = true;
        if (mClose == null) {
            mClose = newClose();
        }
        mTimer.stop();
        releaseRequest();
        releaseRest();
        mClose.begin();
    }

    private void onRequestTooSlow() {
        if (!mRequestBegun) {
            mChannel.close();
            return;
        }
        refuseAsTooSlow();
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
        releaseRest();
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

    private void releaseRest() {
        mDecoder.release();
        mConnections.partialRequests().set(this, 0);
    }
}
