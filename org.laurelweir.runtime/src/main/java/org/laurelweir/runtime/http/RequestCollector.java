package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Collects the whole requests of one connection for the next handler, one at a time: the next one
 * is read once the answer is written. Answers those that exceed the server's bounds.
 *
 * <p>Stands between a {@link ResponseEncoder} and a handler of {@code FullHttpRequest}s that writes
 * one {@code FullHttpResponse} for each.
 */
public final class RequestCollector extends ChannelDuplexHandler implements PartialRequests.Holder {
    /** Maximum time for which a request waits for memory; its client may ask another instance. */
    private static final Duration MAX_MEMORY_WAIT = Duration.ofMillis(800);

    private final ServerBounds mBounds;
    private final ResponseEncoder mEncoder;
    private final RequestDecoder mDecoder = new RequestDecoder();
    private final RequestReservation mReservation;
    private ChannelHandlerContext mContext;
    private RequestTimer mTimer;
    private RequestTimer mMemoryTimer;
    private HttpRequest mHead;
    private BodyBuffer mBody;
    private int mHeadMemory;
    private boolean mRequestBegun;
    private boolean mAnswering;
    private LingeringClose mClose;

    /**
     * Creates a handler for one connection.
     *
     * @param bounds the bounds of the server, which all its connections share
     * @param encoder encodes the answers of the connection
     */
    public RequestCollector(ServerBounds bounds, ResponseEncoder encoder) {
        mBounds = bounds;
        mEncoder = encoder;
        mReservation = new RequestReservation(bounds.memory(), this::giveUpReading);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
        mTimer = new RequestTimer(context.channel().eventLoop(), this::onTimeout);
        mMemoryTimer = new RequestTimer(context.channel().eventLoop(), this::refuseForMemory);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mBounds.connections().add(context.channel()).ifPresent(Channel::close);
        mTimer.start(mBounds.idleTime());
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (mClose != null) {
            mClose.discard(bytes);
            return;
        }
        if (!mRequestBegun && !mAnswering) {
            mRequestBegun = true;
            mTimer.start(mBounds.requestTime());
        }
        mDecoder.add(bytes);
        readParts();
    }

    private void readParts() {
        try {
            boolean progress = true;
            while (progress && !mAnswering && mClose == null && !mReservation.isWaiting()) {
                progress = mHead == null ? readHead() : readBody();
            }
        } catch (LaurelweirException e) {
            refuse(e.getCode(), e.getMessage());
        }
        holdRest();
    }

    private boolean readHead() {
        if (!mDecoder.findHead(mBounds.headBytes()) || !reserve(mDecoder.headMemory())) {
            return false;
        }
        mHeadMemory = mDecoder.headMemory();
        mHead = mDecoder.takeHead();
        mEncoder.onRequest(mHead.method());
        long announced = HttpUtil.getContentLength(mHead, 0L);
        if (announced > mBounds.bodyBytes()) {
            throw tooLarge();
        }
        mBody = new BodyBuffer((int) announced);
        if (HttpUtil.is100ContinueExpected(mHead)) {
            mContext.writeAndFlush(response(HttpResponseStatus.CONTINUE, ""));
        }
        return true;
    }

    /** Reserves memory for the body before the first of its bytes is taken. */
    private boolean readBody() {
        int size = mBody.size() + mDecoder.readableBytes();
        long bodyMemory = mBody.memoryFor(size, mBounds.bodyBytes());
        if (!mDecoder.isComplete() && !reserve(mHeadMemory + bodyMemory)) {
            return false;
        }
        ByteBuf bytes = mDecoder.nextBody(mBounds.headBytes());
        if (mBody.size() + bytes.readableBytes() > mBounds.bodyBytes()) {
            throw tooLarge();
        }
        mBody.add(bytes);
        if (!mDecoder.isComplete()) {
            return mDecoder.hasInput();
        }
        handOn();
        return true;
    }

    private void handOn() {
        mTimer.stop();
        mDecoder.beginNext();
        mReservation.onWhole();
        byte[] body = mBody.toBytes();
        mReservation.shrinkTo(mHeadMemory + body.length);
        HttpRequest head = mHead;
        mHead = null;
        mBody = null;
        mAnswering = true;
        mBounds.connections().onRequest(mContext.channel());
        mContext.fireChannelRead(
                new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        Unpooled.wrappedBuffer(body),
                        head.headers(),
                        head.headers()));
    }

    private boolean reserve(long bytes) {
        if (mReservation.tryGrow(bytes)) {
            return true;
        }
        Runnable onReserved = () -> mContext.channel().eventLoop().execute(this::onMemoryReserved);
        if (bytes <= RequestMemory.SMALL_BYTES || !mReservation.await(bytes, onReserved)) {
            refuseForMemory();
            return false;
        }
        mTimer.stop();
        mMemoryTimer.start(MAX_MEMORY_WAIT);
        return false;
    }

    private void onMemoryReserved() {
        if (mReservation.onReserved()) {
            mMemoryTimer.stop();
            mTimer.start(mBounds.requestTime());
            readParts();
        }
    }

    private void refuseForMemory() {
        mReservation.refuse(mReservation.bytes());
        refuse(ResultCode.OVERLOADED, "there is no memory for the request");
    }

    /** Holds what has come of a head, or of requests after the one that is being answered. */
    private void holdRest() {
        if (mClose != null) {
            mDecoder.release();
        } else {
            mDecoder.compact();
        }
        mBounds.partialRequests().set(this, mDecoder.heldBytes());
        boolean holdsNext = mAnswering && mDecoder.hasInput();
        mContext.channel().config().setAutoRead(!holdsNext && !mReservation.isWaiting());
    }

    @Override
    public void giveUp() {
        mContext.channel().eventLoop().execute(this::dropRest);
    }

    /**
     * Drops an incomplete head, or the requests after the one that is being answered: these have
     * not run, and their client sees the connection close after the answer.
     */
    private void dropRest() {
        if (mClose != null) {
            return;
        }
        if (!mAnswering) {
            mContext.close();
            return;
        }
        mClose = newClose();
        mDecoder.release();
        mBounds.partialRequests().set(this, 0);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (mAnswering) {
            if (mClose != null) {
                closeAfter((HttpMessage) message);
            }
            mTimer.start(mBounds.requestTime());
            promise.addListener(f -> onAnswered());
        }
        context.write(message, promise);
    }

    private static void closeAfter(HttpMessage message) {
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    private void onAnswered() {
        mReservation.release();
        mAnswering = false;
        if (mClose != null) {
            mTimer.stop();
            mClose.begin();
            return;
        }
        mRequestBegun = mDecoder.hasInput();
        mBounds.connections().onAnswered(mContext.channel());
        mTimer.start(mRequestBegun ? mBounds.requestTime() : mBounds.idleTime());
        readParts();
    }

    private void giveUpReading() {
        mContext.channel().eventLoop().execute(this::refuseIfReading);
    }

    private void refuseIfReading() {
        if (mHead != null && mClose == null) {
            refuseAsTooSlow();
        }
    }

    private void onTimeout() {
        if (!mRequestBegun || mAnswering) {
            mContext.close();
            return;
        }
        refuseAsTooSlow();
    }

    private void refuseAsTooSlow() {
        refuse(ResultCode.REQUEST_TOO_SLOW, "the request took too long to arrive");
    }

    private LaurelweirException tooLarge() {
        return new LaurelweirException(
                ResultCode.BODY_TOO_LARGE,
                "the request's body exceeds " + mBounds.bodyBytes() + " bytes");
    }

    private void refuse(ResultCode code, String message) {
        mClose = newClose();
        releaseRequest();
        FullHttpResponse response =
                response(HttpResponseStatus.valueOf(code.httpStatus()), message + "\n");
        closeAfter(response);
        mContext.writeAndFlush(response).addListener(f -> mClose.begin());
    }

    private LingeringClose newClose() {
        long maxBytes = mBounds.bodyBytes() + 2L * mBounds.headBytes();
        return new LingeringClose(mContext.channel(), maxBytes);
    }

    private static FullHttpResponse response(HttpResponseStatus status, String body) {
        ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
        if (!status.equals(HttpResponseStatus.CONTINUE)) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes());
        }
        return response;
    }

    private void releaseRequest() {
        mTimer.stop();
        mMemoryTimer.stop();
        mReservation.release();
        mHead = null;
        mBody = null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseRequest();
        mDecoder.release();
        mBounds.partialRequests().set(this, 0);
        context.fireChannelInactive();
    }
}
