package org.laurelweir.runtime.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Encodes requests and decodes answers on a connection that carries one request at a time, and
 * tells whether bytes were received that belong to no answer.
 */
public final class AnswerCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {
    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final Decoder mDecoder = new Decoder();
    private boolean mIsHeadRequest;

    /** Creates a codec for one connection. */
    public AnswerCodec() {
        init(mDecoder, new Encoder());
    }

    /**
     * Returns whether bytes of an incomplete answer were received, or bytes after a complete one.
     * Between the end of an answer and the next request, such bytes are the beginning of something
     * that nobody asked for, and the decoder would put them before the next answer.
     */
    public boolean hasPartialAnswer() {
        return mDecoder.hasPartialAnswer();
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
                throws Exception {
            if (message instanceof HttpRequest r) {
                mIsHeadRequest = r.method().equals(HttpMethod.HEAD);
            }
            super.encode(context, message, out);
        }
    }

    private final class Decoder extends HttpResponseDecoder {
        private boolean mIsWithinAnswer;

        Decoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_LINE_BYTES)
                            .setMaxHeaderSize(MAX_HEADER_BYTES)
                            .setMaxChunkSize(MAX_CHUNK_BYTES));
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean isFinal =
                    message instanceof HttpResponse r
                            && r.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            return isFinal && mIsHeadRequest || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws Exception {
            int size = bytes.readableBytes();
            int decoded = out.size();
            super.decode(context, bytes, out);
            // Whole lines of a head leave the buffer before the head is complete.
            mIsWithinAnswer |= bytes.readableBytes() < size;
            for (Object o : out.subList(decoded, out.size())) {
                mIsWithinAnswer &= !(o instanceof LastHttpContent);
            }
        }

        boolean hasPartialAnswer() {
            return mIsWithinAnswer || internalBuffer().isReadable();
        }
    }
}
