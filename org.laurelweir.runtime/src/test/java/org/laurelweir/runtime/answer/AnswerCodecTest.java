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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which bytes of a server are taken for an answer, and for its end. */
class AnswerCodecTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BODY = "Content-Length: 2\r\n\r\nhi";

    /**
     * What was decoded of an answer.
     *
     * @param heads statuses and fields of the heads
     * @param ends number of bodies that ended
     * @param failures number of messages that report bytes which are no answer
     */
    private record Decoded(List<String> heads, String body, int ends, int failures) {
        boolean isWhole() {
            return ends == heads.size() && ends > 0 && failures == 0;
        }
    }

    private static Decoded decode(String answer) {
        return decode(HttpMethod.POST, answer, answer.length());
    }

    /** Decodes an answer, in pieces of a size, and the end of its connection. */
    private static Decoded decode(HttpMethod method, String answer, int pieceSize) {
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

    private static Decoded collect(EmbeddedChannel channel) {
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
        return new Decoded(heads, body.toString(), ends, failures);
    }

    private static void assertNoAnswer(String head) {
        for (int pieceSize : List.of(head.length(), 1)) {
            Decoded decoded = decode(HttpMethod.POST, head, pieceSize);
            assertThat(decoded.isWhole()).as("%s", decoded).isFalse();
            assertThat(decoded.heads()).isEmpty();
            assertThat(decoded.failures()).isEqualTo(1);
        }
    }

    private static void assertNotWhole(String answer) {
        for (int pieceSize : List.of(answer.length(), 1)) {
            Decoded decoded = decode(HttpMethod.POST, answer, pieceSize);
            assertThat(decoded.isWhole()).as("%s", decoded).isFalse();
            assertThat(decoded.failures()).as("%s", decoded).isEqualTo(1);
        }
    }

    private static void assertWhole(String answer, String head, String body) {
        for (int pieceSize : List.of(answer.length(), 1)) {
            Decoded decoded = decode(HttpMethod.POST, answer, pieceSize);
            assertThat(decoded.isWhole()).as("%s", decoded).isTrue();
            assertThat(decoded.heads()).containsExactly(head);
            assertThat(decoded.body()).isEqualTo(body);
        }
    }

    static Stream<String> bytesOutsideTexts() {
        return Stream.concat(IntStream.range(0, 0x20).boxed(), Stream.of(0x7F))
                .filter(b -> b != '\t' && b != '\n')
                .map(b -> String.valueOf((char) b.intValue()));
    }

    static Stream<String> bytesOutsideTokens() {
        return IntStream.range(0, 0x100)
                .filter(b -> "!#$%&'*+-.^_`|~:\n".indexOf(b) < 0)
                .filter(b -> b > 0x7F || !Character.isLetterOrDigit(b))
                .mapToObj(b -> String.valueOf((char) b));
    }

    /** Guards against a status that no server can mean, in an answer that reaches its caller. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "001",
                "099",
                "0",
                "20",
                "2000",
                "0200",
                "+200",
                "-20",
                "2x0",
                "0x1",
                "1e2",
                "20\u00b2",
                "200\t",
                "200,",
                "200.0",
                ""
            })
    void statusThatIsNoNumberFrom100To999IsNoAnswer(String status) {
        assertNoAnswer("HTTP/1.1 " + status + " X\r\n" + BODY);
    }

    /** Guards against bytes that are read as a status line since they look a little like one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/2.0 200 OK",
                "HTTP/0.9 200 OK",
                "HTTP/3 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/11 200 OK",
                "HTTP/1. 200 OK",
                "HTTP/+1.1 200 OK",
                "http/1.1 200 OK",
                "HTTPS/1.1 200 OK",
                "ICY 200 OK",
                " HTTP/1.1 200 OK",
                "\u0000HTTP/1.1 200 OK",
                "xHTTP/1.1 200 OK",
                "HTTP /1.1 200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\u000b200 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1",
                "200 OK",
                "GET / HTTP/1.1"
            })
    void firstLineThatIsNoStatusLineIsNoAnswer(String line) {
        assertNoAnswer(line + "\r\n" + BODY);
    }

    /** Guards against control bytes that reach callers or logs, or that other programs end at. */
    @ParameterizedTest
    @MethodSource("bytesOutsideTexts")
    void controlByteInAReasonIsNoAnswer(String b) {
        assertNoAnswer("HTTP/1.1 200 O" + b + "K\r\n" + BODY);
    }

    /** Guards against refusing status lines that are legal and rare. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200",
                "HTTP/1.1 200  ",
                "HTTP/1.0 200 OK",
                "HTTP/1.9 200 OK",
                "HTTP/1.1 200 All is\twell: \u00fc, \"ok\""
            })
    void rareStatusLinePasses(String line) {
        assertWhole(line + "\r\n" + BODY, "200 [Content-Length=2]", "hi");
    }

    /** Guards against refusing answers of servers that end a body with an empty line. */
    @Test
    void emptyLinesBeforeTheStatusLineAreSkipped() {
        assertWhole("\r\n\r\n" + OK + BODY, "200 [Content-Length=2]", "hi");
    }

    /** Guards against refusing statuses that no standard names, which have the form of one. */
    @ParameterizedTest
    @ValueSource(ints = {201, 299, 418, 599, 600, 999})
    void rareStatusPasses(int status) {
        assertWhole("HTTP/1.1 " + status + " X\r\n" + BODY, status + " [Content-Length=2]", "hi");
    }

    /** Guards against a name that others read in another way, as up to the byte or without it. */
    @ParameterizedTest
    @MethodSource("bytesOutsideTokens")
    void nameWithAByteOutsideTokensIsNoAnswer(String b) {
        assertNoAnswer(OK + "A" + b + "B: x\r\n" + BODY);
        assertNoAnswer(OK + "A" + b + ": x\r\n" + BODY);
        assertNoAnswer(OK + BODY.replace("Length", "Length" + b));
    }

    /** Guards against the same in the first line of a head, where a fold has nothing to go on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "nothing",
                ":",
                ": x",
                " A: x",
                "\tA: x",
                " ",
                "\u0000",
                "A",
                "A=b",
                "HTTP/1.1 200 OK"
            })
    void lineThatIsNoFieldIsNoAnswer(String line) {
        assertNoAnswer(OK + line + "\r\n" + BODY);
    }

    @ParameterizedTest
    @MethodSource("bytesOutsideTexts")
    void controlByteInAValueIsNoAnswer(String b) {
        assertNoAnswer(OK + "A: x" + b + "y\r\n" + BODY);
        assertNoAnswer(OK + "A: " + b + "\r\n" + BODY);
        assertNoAnswer(OK + "A: x\r\n y" + b + "\r\n" + BODY);
    }

    /** Guards against refusing fields that are legal and rare. */
    @Test
    void rareFieldsPass() {
        assertWhole(
                OK + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + BODY,
                "200 [!#$%&'*+-.^_`|~09azAZ=x, Content-Length=2]",
                "hi");
        assertWhole(OK + "A:\r\n" + BODY, "200 [A=, Content-Length=2]", "hi");
        assertWhole(OK + "A: \t \r\n" + BODY, "200 [A=, Content-Length=2]", "hi");
        assertWhole(OK + "A:x:y \t\r\n" + BODY, "200 [A=x:y, Content-Length=2]", "hi");
        assertWhole(OK + "A: x\u00fc\ty\r\n" + BODY, "200 [A=x\u00fc\ty, Content-Length=2]", "hi");
        assertWhole(OK + "A: x\r\nA: y\r\n" + BODY, "200 [A=x, A=y, Content-Length=2]", "hi");
        assertWhole(OK + "content-LENGTH:2\r\n\r\nhi", "200 [content-LENGTH=2]", "hi");
    }

    /** Guards against refusing folded lines, which old servers send and which may be unfolded. */
    @Test
    void foldedLineIsUnfolded() {
        Decoded decoded = decode(OK + "A: x\r\n y\r\n\tz\r\n" + BODY);
        assertThat(decoded.isWhole()).isTrue();
        assertThat(decoded.heads().get(0)).matches("200 \\[A=x[ \t]+y[ \t]+z, Content-Length=2]");
    }

    /** Guards against a length that two programs read in two ways. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\nContent-Length: 3",
                "Content-Length: 2, 3",
                "Content-Length: +2",
                "Content-Length: -2",
                "Content-Length: 0x2",
                "Content-Length: 2x",
                "Content-Length: 2 2",
                "Content-Length: 2.0",
                "Content-Length: \u00b2",
                "Content-Length: 99999999999999999999",
                "Content-Length:",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 2",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: \"chunked\"",
                "Transfer-Encoding: chunked;x",
                "Transfer-Encoding:"
            })
    void headThatDoesNotTellOneLengthIsNoAnswer(String fields) {
        assertNoAnswer(OK + fields + "\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    }

    /** Guards against chunks from a server that by its version does not know them. */
    @Test
    void chunksOfAnOldVersionAreNoAnswer() {
        assertNoAnswer(CHUNKED.replace("HTTP/1.1", "HTTP/1.0") + "2\r\nhi\r\n0\r\n\r\n");
    }

    /** Guards against a body that a status forbids, which our answer to the caller would lose. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 X\r\nContent-Length: 2\r\n\r\nhi",
                "204 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "205 X\r\nContent-Length: 2\r\n\r\nhi",
                "205 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "205 X\r\n\r\nhi",
                "100 X\r\nContent-Length: 2\r\n\r\nhi",
                "103 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
            })
    void bodyThatTheStatusForbidsIsNotWhole(String answer) {
        assertNotWhole("HTTP/1.1 " + answer);
    }

    /** Guards against refusing the heads without a body that are legal and rare. */
    @Test
    void answersWithoutABodyPass() {
        assertWhole("HTTP/1.1 204 X\r\n\r\n", "204 []", "");
        assertWhole("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", "204 [Content-Length=0]", "");
        assertWhole("HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", "304 [Content-Length=9]", "");
        assertWhole(
                "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n",
                "304 [Transfer-Encoding=chunked]",
                "");
        assertWhole("HTTP/1.1 205 X\r\nContent-Length: 0\r\n\r\n", "205 [Content-Length=0]", "");
        assertWhole(
                "HTTP/1.1 205 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "205 [Transfer-Encoding=chunked]",
                "");
        assertWhole("HTTP/1.1 205 X\r\n\r\n", "205 []", "");
        Decoded head = decode(HttpMethod.HEAD, OK + "Content-Length: 9\r\n\r\n", 1);
        assertThat(head.isWhole()).isTrue();
        head = decode(HttpMethod.HEAD, CHUNKED, 1);
        assertThat(head.isWhole()).isTrue();
    }

    /** Guards against an interim answer that counts as the answer, or that hides it. */
    @Test
    void interimAnswersComeBeforeTheAnswer() {
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n";
        for (int pieceSize : List.of(1, 7, 1000)) {
            Decoded decoded = decode(HttpMethod.POST, interim + OK + BODY, pieceSize);
            assertThat(decoded.heads())
                    .containsExactly("100 []", "103 [Link=</a>]", "200 [Content-Length=2]");
            assertThat(decoded.body()).isEqualTo("hi");
            assertThat(decoded.isWhole()).isTrue();
        }
    }

    /** Guards against a change of the protocol that nobody asked for: what follows is no HTTP. */
    @Test
    void changeOfTheProtocolIsNoAnswer() {
        assertNoAnswer("HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n");
    }

    /** Guards against chunks whose size or end two programs read in two ways. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "+2\r\nhi\r\n0\r\n\r\n",
                "-2\r\nhi\r\n0\r\n\r\n",
                "0x2\r\nhi\r\n0\r\n\r\n",
                "g\r\nhi\r\n0\r\n\r\n",
                "\r\nhi\r\n0\r\n\r\n",
                ";a\r\nhi\r\n0\r\n\r\n",
                " 2\r\nhi\r\n0\r\n\r\n",
                "\t2\r\nhi\r\n0\r\n\r\n",
                "2 2\r\nhi\r\n0\r\n\r\n",
                "2x\r\nhi\r\n0\r\n\r\n",
                "2\u0000\r\nhi\r\n0\r\n\r\n",
                "2;a\u0000b\r\nhi\r\n0\r\n\r\n",
                "2;a\rb\r\nhi\r\n0\r\n\r\n",
                "2\u00b2\r\nhi\r\n0\r\n\r\n",
                "2\nhi\r\n0\r\n\r\n",
                "2;a\nhi\r\n0\r\n\r\n",
                "2\rhi\r\n0\r\n\r\n",
                "2\r\nhi0\r\n\r\n",
                "2\r\nhi!\r\n0\r\n\r\n",
                "2\r\nhi\n0\r\n\r\n",
                "2\r\nhi \r\n0\r\n\r\n",
                "2\r\nhi\r\n0\n\r\n",
                "2\r\nhi\r\n0\r\n\n",
                "2\r\nhi\r\n0\r\n\rx\r\n\r\n",
                "ffffffffffffffffff\r\nhi\r\n0\r\n\r\n",
                "8000000000000002\r\nhi\r\n0\r\n\r\n"
            })
    void malformedChunksAreNotWhole(String chunks) {
        assertNotWhole(CHUNKED + chunks);
    }

    /** Guards against a size that loses its upper digits, and with them a part of the body. */
    @Test
    void chunkOfFourGibibytesIsNotWholeAfterTwoBytes() {
        assertThat(decode(CHUNKED + "100000002\r\nhi\r\n0\r\n\r\n").isWhole()).isFalse();
    }

    /** Guards against trailers that are no fields, after which the end is not the server's word. */
    @ParameterizedTest
    @MethodSource("bytesOutsideTokens")
    void trailerWithAByteOutsideTokensIsNotWhole(String b) {
        assertNotWhole(CHUNKED + "2\r\nhi\r\n0\r\nA" + b + "B: x\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("bytesOutsideTexts")
    void trailerWithAControlByteIsNotWhole(String b) {
        assertNotWhole(CHUNKED + "2\r\nhi\r\n0\r\nA: x" + b + "y\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nothing\r\n\r\n",
                ": x\r\n\r\n",
                " A: x\r\n\r\n",
                "A : x\r\n\r\n",
                "A: x\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            })
    void trailerThatIsNoFieldIsNotWhole(String trailers) {
        assertNotWhole(CHUNKED + "2\r\nhi\r\n0\r\n" + trailers);
    }

    /** Guards against refusing chunks and trailers that are legal and rare. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "2\r\nhi\r\n0\r\n\r\n",
                "1\r\nh\r\n1\r\ni\r\n000\r\n\r\n",
                "0000000000000000002\r\nhi\r\n0\r\n\r\n",
                "2;a=b;c=\"d \u00fc\"\r\nhi\r\n0;e\r\n\r\n",
                "2 ; a = b\r\nhi\r\n0\r\n\r\n",
                "2 \t\r\nhi\r\n0\r\n\r\n",
                "2\r\nhi\r\n0\r\nA: x\r\nB:\r\n\r\n",
                "2\r\nhi\r\n0\r\nA: x\r\n y\r\n\r\n"
            })
    void rareChunksPass(String chunks) {
        assertWhole(CHUNKED + chunks, "200 [Transfer-Encoding=chunked]", "hi");
    }

    @Test
    void sizesAreHexadecimal() {
        String data = "x".repeat(0xaB);
        assertWhole(
                CHUNKED + "aB\r\n" + data + "\r\n0\r\n\r\n",
                "200 [Transfer-Encoding=chunked]",
                data);
    }

    /** Guards against a part of an answer that counts as the whole, wherever it is cut. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nA: x\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2;a\r\nhi\r\n0\r\nA: x\r\n\r\n"
            })
    void cutAnswerIsNotWhole(String answer) {
        for (int cut = 0; cut < answer.length(); cut++) {
            Decoded decoded = decode(answer.substring(0, cut));
            boolean ended = decoded.heads().stream().anyMatch(h -> h.startsWith("200"));
            assertThat(ended && decoded.isWhole()).as("cut at %d: %s", cut, decoded).isFalse();
        }
        assertThat(decode(answer).isWhole()).isTrue();
    }

    /** Guards against losing an answer that only the end of its connection ends. */
    @Test
    void endOfTheConnectionEndsAnAnswerThatHasNoLength() {
        assertWhole(OK + "A: x\r\n\r\nhi there", "200 [A=x]", "hi there");
        assertWhole(OK + "\r\n", "200 []", "");
    }

    /** Guards against taking what follows bytes that are no answer for one. */
    @Test
    void nothingIsReadAfterBytesThatAreNoAnswer() {
        Decoded decoded = decode("HTTP/1.1 000 X\r\n" + BODY + OK + BODY);
        assertThat(decoded.heads()).isEmpty();
        assertThat(decoded.ends()).isZero();
    }

    /** Guards against a wait for the rest of bytes that can't become an answer any more. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\n",
                "what is this\r\n",
                "HTTP/1.1 200 OK\r\nA b: x\r\n",
            })
    void linesAreRefusedBeforeTheHeadIsWhole(String start) {
        EmbeddedChannel channel = new EmbeddedChannel(new AnswerCodec());
        channel.writeInbound(Unpooled.copiedBuffer(start, StandardCharsets.ISO_8859_1));
        assertThat(collect(channel).failures()).isEqualTo(1);
    }

    /** Guards against one answer that is taken for two, or two for one. */
    @Test
    void answersOfAConnectionAreToldApart() {
        String first = CHUNKED + "2\r\nhi\r\n0\r\n\r\n";
        for (int pieceSize : List.of(1, 3, 1000)) {
            Decoded decoded = decode(HttpMethod.POST, first + OK + BODY, pieceSize);
            assertThat(decoded.heads()).hasSize(2);
            assertThat(decoded.body()).isEqualTo("hihi");
            assertThat(decoded.isWhole()).isTrue();
        }
    }
}
