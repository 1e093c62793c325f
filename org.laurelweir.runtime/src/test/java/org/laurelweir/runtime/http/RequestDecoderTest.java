package org.laurelweir.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import java.io.ByteArrayOutputStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Tests what requests a decoder finds in bytes, and what it takes to find them. */
class RequestDecoderTest {
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final String LINE = "GET /x HTTP/1.1\r\n";
    private static final String HOST = "Host: h\r\n";
    private static final String CHUNKED =
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** What may be allocated for each byte: copies of it, and what its line is made into. */
    private static final int MAX_ALLOCATED_PER_BYTE = 200;

    private final RequestDecoder mDecoder = new RequestDecoder();
    private final List<Request> mRequests = new ArrayList<>();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private HttpRequest mHead;

    private record Request(String method, String uri, String headers, String body) {}

    private void send(String bytes) {
        mDecoder.add(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        boolean progress = true;
        while (progress) {
            progress = mHead == null ? readHead() : readBody();
        }
        mDecoder.compact();
    }

    private boolean readHead() {
        if (!mDecoder.findHead(MAX_HEAD_BYTES)) {
            return false;
        }
        mHead = mDecoder.takeHead();
        return true;
    }

    private boolean readBody() {
        ByteBuf bytes = mDecoder.nextBody(MAX_HEAD_BYTES);
        mBody.writeBytes(ByteBufUtil.getBytes(bytes));
        if (!mDecoder.isComplete()) {
            return mDecoder.hasInput();
        }
        mDecoder.beginNext();
        mRequests.add(
                new Request(
                        mHead.method().name(),
                        mHead.uri(),
                        String.valueOf(mHead.headers().entries()),
                        mBody.toString(StandardCharsets.ISO_8859_1)));
        mHead = null;
        mBody.reset();
        return true;
    }

    private void assertRefused(String bytes, ResultCode code) {
        assertThatThrownBy(() -> send(bytes))
                .isInstanceOfSatisfying(
                        LaurelweirException.class, e -> assertThat(e.getCode()).isEqualTo(code));
    }

    @Test
    void requestsThatComeTogetherAreFound() {
        send(
                "\r\n\n"
                        + LINE
                        + HOST
                        + "\r\n\r\nPOST /y HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                        + CHUNKED
                        + "2;x=\"y\"\r\nde\r\nA \r\n0123456789\r\n0\r\nT: u\r\n v\r\n\r\n"
                        + LINE
                        + "\r\n");
        assertThat(mRequests)
                .containsExactly(
                        new Request("GET", "/x", "[Host=h]", ""),
                        new Request("POST", "/y", "[Content-Length=3]", "abc"),
                        new Request(
                                "POST",
                                "/x",
                                "[Host=h, Transfer-Encoding=chunked]",
                                "de0123456789"),
                        new Request("GET", "/x", "[]", ""));
        assertThat(mDecoder.heldBytes()).isZero();
    }

    // Guards against requests that depend on how the network cuts them.
    @Property(tries = 200)
    void piecesMakeTheSameRequests(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int max) {
        Random random = new Random(seed);
        StringBuilder bytes = new StringBuilder();
        for (int i = 0; i < 6; i++) {
            bytes.append(randomRequest(random));
        }
        RequestDecoderTest whole = new RequestDecoderTest();
        whole.send(bytes.toString());
        RequestDecoderTest pieces = new RequestDecoderTest();
        for (int from = 0; from < bytes.length(); ) {
            int to = Math.min(bytes.length(), from + 1 + random.nextInt(max));
            pieces.send(bytes.substring(from, to));
            from = to;
        }
        assertThat(whole.mRequests).hasSize(6);
        assertThat(pieces.mRequests).isEqualTo(whole.mRequests);
    }

    private static String randomRequest(Random random) {
        StringBuilder head = new StringBuilder(random.nextBoolean() ? "\r\n" : "");
        head.append("POST /").append(random.nextInt(100)).append(" HTTP/1.1\r\n");
        for (int i = random.nextInt(4); i > 0; i--) {
            head.append("N")
                    .append(i)
                    .append(": v\r\n")
                    .append(random.nextBoolean() ? "\t w\r\n" : "");
        }
        String body = "b".repeat(random.nextInt(50));
        if (random.nextBoolean()) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        head.append("Transfer-Encoding: chunked\r\n\r\n");
        for (int from = 0; from < body.length(); ) {
            int to = Math.min(body.length(), from + 1 + random.nextInt(9));
            head.append(Integer.toHexString(to - from)).append(random.nextBoolean() ? ";e=1" : "");
            head.append("\r\n").append(body, from, to).append("\r\n");
            from = to;
        }
        return head + "0\r\n" + (random.nextBoolean() ? "T: u\r\n" : "") + "\r\n";
    }

    // Guards against refusing a head that has as many bytes as the settings allow.
    @Test
    void headOfTheMaximumSizeIsTaken() {
        String headers = HOST + "a:\r\n".repeat((MAX_HEAD_BYTES - HOST.length()) / 4);
        String filler = "b".repeat(MAX_HEAD_BYTES - headers.length());
        String head = LINE + headers.replaceFirst("h\r\n", "h" + filler + "\r\n") + "\r\n";
        send(head);
        assertThat(mRequests).hasSize(1);
        head.chars().forEach(c -> send(String.valueOf((char) c)));
        assertThat(mRequests).hasSize(2);
    }

    // Guards against heads over the limit, whether they are complete or not.
    @Test
    void largerHeadIsRefused() {
        assertRefused(
                LINE + "a: " + "b".repeat(MAX_HEAD_BYTES - 4) + "\r\n\r\n",
                ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void requestLineWithoutEndIsRefused() {
        assertRefused("G".repeat(MAX_HEAD_BYTES + 1), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void headersWithoutEndAreRefused() {
        assertRefused(LINE + "a:\r\n".repeat(MAX_HEAD_BYTES), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void emptyLinesWithoutEndAreRefused() {
        assertRefused("\r\n".repeat(MAX_HEAD_BYTES), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void trailersWithoutEndAreRefused() {
        assertRefused(CHUNKED + "0\r\n" + "a:\r\n".repeat(5_000), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void chunkExtensionWithoutEndIsRefused() {
        assertRefused(CHUNKED + "1;" + "x".repeat(MAX_HEAD_BYTES), ResultCode.HEADERS_TOO_LARGE);
    }

    @Test
    void malformedChunksAreRefused() {
        for (String chunk :
                List.of("\r\n", "x\r\n", "-1\r\n", "1\na\r\n", "1;\na", "1\r\nab", "0\r\n\n")) {
            RequestDecoderTest other = new RequestDecoderTest();
            other.assertRefused(CHUNKED + chunk + "\r\n\r\n\r\n", ResultCode.BAD_REQUEST);
        }
    }

    @Test
    void chunkSizeWithoutEndIsRefused() {
        assertRefused(CHUNKED + "0".repeat(16), ResultCode.BAD_REQUEST);
    }

    @Test
    void malformedHeadIsRefused() {
        for (String head :
                List.of("x\r\n\r\n", LINE + " a: b\r\n\r\n", LINE + "a\u0000: b\r\n\r\n")) {
            RequestDecoderTest other = new RequestDecoderTest();
            other.assertRefused(head, ResultCode.BAD_REQUEST);
        }
    }

    // Guards against an incomplete head that takes much more memory than its bytes.
    @Test
    void incompleteHeadTakesItsBytesOnly() {
        send(LINE);
        for (int i = 0; i < 4_000; i++) {
            send("a:\r\n");
        }
        assertThat(mDecoder.heldBytes()).isLessThan(2 * MAX_HEAD_BYTES + 2 * LINE.length());
    }

    // Guards against the buffer of a whole read that is held for its last bytes.
    @Test
    void restOfAReadTakesItsBytesOnly() {
        send(LINE + "\r\nG");
        assertThat(mDecoder.heldBytes()).isEqualTo(1);
    }

    // Guards against lines that cost the more the more came before them.
    @Test
    void foldedLinesCostNoMoreThanTheirBytes() {
        String head = LINE + HOST + "a: b\r\n" + " c\r\n".repeat(4_000) + "\r\n";
        assertThat(allocatedBy(head)).isLessThan((long) MAX_ALLOCATED_PER_BYTE * head.length());
        assertThat(mRequests.get(0).headers()).startsWith("[Host=h, a=b").endsWith("c]");
    }

    // Guards against an object for each chunk.
    @Test
    void chunksOfOneByteCostNoMoreThanTheirBytes() {
        String request = CHUNKED + "1\r\na\r\n".repeat(100_000) + "0\r\n\r\n";
        assertThat(allocatedBy(request)).isLessThan(20L * request.length());
        assertThat(mRequests.get(0).body()).isEqualTo("a".repeat(100_000));
    }

    // Guards against an estimate of a head's memory that is too small.
    @Test
    void memoryOfAHeadIsEstimated() {
        String head = LINE + "a:\r\n".repeat(4_000) + "\r\n";
        mDecoder.add(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
        assertThat(mDecoder.findHead(MAX_HEAD_BYTES)).isTrue();
        assertThat(mDecoder.headMemory()).isGreaterThan(4_000 * 200);
    }

    private long allocatedBy(String bytes) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        send(bytes);
        return threads.getCurrentThreadAllocatedBytes() - before;
    }
}
