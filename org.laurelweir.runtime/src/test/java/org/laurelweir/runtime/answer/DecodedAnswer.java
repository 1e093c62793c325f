package org.laurelweir.runtime.answer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * What the codec decodes of the bytes of a server.
 *
 * @param heads statuses and fields of the heads
 * @param ends number of bodies that ended
 * @param failures number of messages that report bytes which are no answer
 */
record DecodedAnswer(List<String> heads, String body, int ends, int failures) {
    boolean isWhole() {
        return ends == heads.size() && ends > 0 && failures == 0;
    }

    /** Decodes an answer that comes at once, and the end of its connection. */
    static DecodedAnswer decode(String answer) {
        return decode(HttpMethod.POST, answer, answer.length());
    }

    /** Decodes an answer, in pieces of a size, and the end of its connection. */
    static DecodedAnswer decode(HttpMethod method, String answer, int pieceSize) {
        EmbeddedChannel channel = new EmbeddedChannel(new AnswerCodec());
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x"));
        channel.releaseOutbound();
        byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += pieceSize) {
            int length = Math.min(pieceSize, bytes.length - i);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, i, length));
        }
        channel.finish();
        return collect(channel);
    }

    /** Takes what a channel has decoded. */
    static DecodedAnswer collect(EmbeddedChannel channel) {
        List<String> heads = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        int ends = 0;
        int failures = 0;
        for (HttpObject o = channel.readInbound(); o != null; o = channel.readInbound()) {
            if (o.decoderResult().isFailure()) {
                failures++;
            } else if (o instanceof HttpResponse r) {
                heads.add(r.status().code() + " " + r.headers().entries());
            } else if (o instanceof HttpContent c) {
                body.append(c.content().toString(StandardCharsets.ISO_8859_1));
                ends += o instanceof LastHttpContent ? 1 : 0;
            }
            ReferenceCountUtil.release(o);
        }
        return new DecodedAnswer(heads, body.toString(), ends, failures);
    }

    /** Checks that bytes are refused as a head, whole and byte by byte. */
    static void assertNoAnswer(String head) {
        for (int pieceSize : List.of(head.length(), 1)) {
            DecodedAnswer decoded = decode(HttpMethod.POST, head, pieceSize);
            assertThat(decoded.isWhole()).as("%s", decoded).isFalse();
            assertThat(decoded.heads()).isEmpty();
            assertThat(decoded.failures()).isEqualTo(1);
        }
    }

    /** Checks that an answer does not end, whole and byte by byte. */
    static void assertNotWhole(String answer) {
        for (int pieceSize : List.of(answer.length(), 1)) {
            DecodedAnswer decoded = decode(HttpMethod.POST, answer, pieceSize);
            assertThat(decoded.isWhole()).as("%s", decoded).isFalse();
            assertThat(decoded.failures()).as("%s", decoded).isEqualTo(1);
        }
    }

    /** Checks that an answer ends, whole and byte by byte. */
    static void assertWhole(String answer, String head, String body) {
        for (int pieceSize : List.of(answer.length(), 1)) {
            DecodedAnswer decoded = decode(HttpMethod.POST, answer, pieceSize);
            assertThat(decoded.isWhole()).as("%s", decoded).isTrue();
            assertThat(decoded.heads()).containsExactly(head);
            assertThat(decoded.body()).isEqualTo(body);
        }
    }

    /** Returns the bytes that no reason and no value may hold, without the one that ends a line. */
    static Stream<String> bytesOutsideTexts() {
        return Stream.concat(IntStream.range(0, 0x20).boxed(), Stream.of(0x7F))
                .filter(b -> b != '\t' && b != '\n')
                .map(b -> String.valueOf((char) b.intValue()));
    }

    /** Returns the bytes that no name may hold, without those that end a name or a line. */
    static Stream<String> bytesOutsideTokens() {
        return IntStream.range(0, 0x100)
                .filter(b -> "!#$%&'*+-.^_`|~:\n".indexOf(b) < 0)
                .filter(b -> b > 0x7F || !Character.isLetterOrDigit(b))
                .mapToObj(b -> String.valueOf((char) b));
    }
}
