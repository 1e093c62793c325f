package org.laurelweir.runtime.answer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.List;

/**
 * Encodes requests and decodes answers on a connection that carries one request at a time, and
 * tells whether bytes were received that belong to no answer.
 */
public final class AnswerCodec
        extends CombinedChannelDuplexHandler<AnswerDecoder, HttpRequestEncoder> {
    private final AnswerDecoder mDecoder = new AnswerDecoder(this::method);
    private String mMethod = "";

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

    private String method() {
        return mMethod;
    }

    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
                throws Exception {
            if (message instanceof HttpRequest r) {
                mMethod = r.method().name();
            }
            super.encode(context, message, out);
        }
    }
}
