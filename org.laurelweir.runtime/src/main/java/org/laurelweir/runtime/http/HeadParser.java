package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.ArrayList;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;

/** Parses complete heads of requests, the size of which was checked before. */
final class HeadParser {
    /** Netty's decoder keeps a buffer of the size of the longest line that it has seen. */
    private static final int MAX_KEPT_HEAD_BYTES = 4 << 10;

    /** Far above any head that is parsed. */
    private static final int UNLIMITED_BYTES = 1 << 30;

    private Decoder mDecoder = new Decoder();

    /**
     * Parses a head.
     *
     * @throws LaurelweirException BAD_REQUEST if it is malformed
     */
    HttpRequest parse(ByteBuf head) {
        int size = head.readableBytes();
        List<Object> parts = new ArrayList<>(2);
        mDecoder.decodeHead(head, parts);
        if (size > MAX_KEPT_HEAD_BYTES) {
            mDecoder = new Decoder();
        }
        boolean isWhole = !head.isReadable() && !parts.isEmpty();
        if (!isWhole || !(parts.get(0) instanceof HttpRequest request)) {
            throw RequestDecoder.notHttp();
        }
        if (request.decoderResult().isFailure()) {
            throw RequestDecoder.notHttp();
        }
        return request;
    }

    /** Makes the decoder's method visible. It decodes one head, and begins anew for the next. */
    private static final class Decoder extends HttpRequestDecoder {
        Decoder() {
            super(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(UNLIMITED_BYTES)
                            .setMaxHeaderSize(UNLIMITED_BYTES));
        }

        void decodeHead(ByteBuf head, List<Object> parts) {
            reset();
            try {
                decode(null, head, parts);
            } catch (Exception e) {
                throw RequestDecoder.notHttp();
            }
        }
    }
}
