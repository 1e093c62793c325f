package org.laurelweir.sidecar.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.laurelweir.answer.BodyCheck;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.answer.BodyType;
import org.laurelweir.answer.EndHeader;
import org.laurelweir.attempt.Header;
import org.laurelweir.runtime.answer.AnswerFraming;

/**
 * One call to the backend server over a connection of its own. Reports exactly one end: finished if
 * the complete answer arrived, else failed. Runs on its connection's event loop.
 */
final class BackendCall extends ChannelInboundHandlerAdapter {
    private final FullHttpRequest mRequest;
    private final boolean mStreamRequested;
    private final CallListener mListener;
    private final NoticeListener mNotices;
    private final AnswerTail mTail = new AnswerTail();
    private boolean mPossiblySent;
    private boolean mHeadReceived;

    /** Whether the answer is a chat's stream, whose last event tells its end. */
    private boolean mIsChatStream;

    private ChannelFuture mWrite;
    private BodyFraming mFraming;
    private BodyCheck mCheck;
    private boolean mEnded;

    /**
     * Creates a call.
     *
     * @param request the message to send
     * @param streamed whether the caller asked for a stream of events
     * @param listener receives the answer and the end of the call
     * @param notices receives the heads of answers, for what they say of the backend server
     */
    BackendCall(
            FullHttpRequest request,
            boolean streamed,
            CallListener listener,
            NoticeListener notices) {
        mRequest = request;
        mStreamRequested = streamed;
        mListener = listener;
        mNotices = notices;
    }

    /** Sends the request, or fails the call if the connection could not be opened. */
    void onConnected(ChannelFuture connect) {
        if (!connect.isSuccess()) {
            mRequest.release();
            fail("can't connect: " + connect.cause().getMessage());
            return;
        }
        Channel channel = connect.channel();
        // From here on the backend server may receive the request, even if the write fails.
        mPossiblySent = true;
        mWrite = channel.writeAndFlush(mRequest);
        mWrite.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        fail("can't send: " + f.cause().getMessage());
                        channel.close();
                    }
                });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!mEnded && message instanceof HttpObject o) {
                read(context, o);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("not an HTTP answer: " + message.decoderResult().cause().getMessage());
            context.close();
            return;
        }
        if (message instanceof HttpResponse r) {
            mNotices.onHead(r);
            if (!isInformational(r)) {
                onHead(r);
            }
        }
        if (mHeadReceived && message instanceof HttpContent c) {
            onContent(c.content());
            if (c instanceof LastHttpContent) {
                onBodyEnd();
                context.close();
            }
        }
    }

    private static boolean isInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void onHead(HttpResponse response) {
        mHeadReceived = true;
        mFraming = AnswerFraming.of(mRequest.method().name(), response);
        List<Header> headers = HopByHopHeaders.endToEnd(response.headers());
        mIsChatStream = mStreamRequested && BodyType.isEventStream(headers);
        mCheck = new BodyCheck(mIsChatStream ? BodyType.OTHER : BodyType.of(headers), mFraming);
        mListener.onHead(response.status().code(), EndHeader.applyTo(headers, mFraming));
    }

    private void onContent(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(content);
        mTail.add(bytes);
        mCheck.add(bytes);
        mListener.onData(bytes);
    }

    private void onBodyEnd() {
        if (!mFraming.provesEnd() && !mWrite.isSuccess()) {
            // The backend server gave up reading the request, maybe within its answer.
            fail("the connection ended the answer before the request was sent");
            return;
        }
        if (mIsChatStream && !mTail.isStreamDone()) {
            fail("the stream of events ended before its last one");
            return;
        }
        if (mCheck.isBrokenOff()) {
            fail("the answer ended within its content");
            return;
        }
        if (markEnded()) {
            mListener.onFinished(mTail.usage());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection ended before the answer was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
        context.close();
    }

    private void fail(String message) {
        if (markEnded()) {
            mListener.onFailed(mPossiblySent, message);
        }
    }

    private boolean markEnded() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        return true;
    }
}
