package org.laurelweir.sidecar.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;

/**
 * One call on the backend server over a connection of its own. Reports exactly one end: finished
 * only where the whole answer came, else failed. Runs on its connection's event loop.
 */
final class BackendCall extends ChannelInboundHandlerAdapter {
    private static final String EVENT_STREAM = "text/event-stream";

    private final FullHttpRequest mRequest;
    private final boolean mStreamed;
    private final CallListener mListener;
    private final AnswerScan mScan = new AnswerScan();
    private boolean mSent;
    private boolean mAnswered;
    private boolean mIsEventStream;
    private boolean mEnded;

    /**
     * Creates a call.
     *
     * @param request the message to send
     * @param streamed whether the answer is wanted as a stream of events
     * @param listener hears what becomes of it
     */
    BackendCall(FullHttpRequest request, boolean streamed, CallListener listener) {
        mRequest = request;
        mStreamed = streamed;
        mListener = listener;
    }

    /** Sends the request once the connection is there. */
    void connected(ChannelFuture connect) {
        if (!connect.isSuccess()) {
            mRequest.release();
            fail("can't connect: " + connect.cause().getMessage());
            return;
        }
        Channel channel = connect.channel();
        // From here on the backend server may get it, whatever becomes of the write.
        mSent = true;
        channel.writeAndFlush(mRequest)
                .addListener(
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
        if (message instanceof HttpResponse r && !isInformational(r)) {
            answered(r);
        }
        if (mAnswered && message instanceof HttpContent c) {
            content(c.content());
            if (c instanceof LastHttpContent) {
                whole();
                context.close();
            }
        }
    }

    private static boolean isInformational(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private void answered(HttpResponse response) {
        mAnswered = true;
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        mIsEventStream = type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
        mListener.answered(response.status().code(), HopHeaders.passedOn(response.headers()));
    }

    private void content(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        byte[] bytes = ByteBufUtil.getBytes(content);
        mScan.add(bytes);
        mListener.received(bytes);
    }

    private void whole() {
        if (mStreamed && mIsEventStream && !mScan.isStreamDone()) {
            fail("the stream of events ended before its last one");
            return;
        }
        if (end()) {
            mListener.finished(mScan.usage());
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
        if (end()) {
            mListener.failed(mSent, message);
        }
    }

    private boolean end() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        return true;
    }
}
