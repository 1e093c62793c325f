package org.laurelweir.runtime.answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertNoAnswer;
import static org.laurelweir.runtime.answer.DecodedAnswer.assertWhole;
import static org.laurelweir.runtime.answer.DecodedAnswer.collect;
import static org.laurelweir.runtime.answer.DecodedAnswer.decode;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which status lines and fields are taken for the head of an answer. */
class AnswerHeadTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "Content-Length: 2\r\n\r\nhi";

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
    @MethodSource("org.laurelweir.runtime.answer.DecodedAnswer#bytesOutsideTexts")
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
    @MethodSource("org.laurelweir.runtime.answer.DecodedAnswer#bytesOutsideTokens")
    void nameWithAByteOutsideTokensIsNoAnswer(String b) {
        assertNoAnswer(OK + "A" + b + "B: x\r\n" + BODY);
        assertNoAnswer(OK + "A" + b + ": x\r\n" + BODY);
        assertNoAnswer(OK + BODY.replace("Length", "Length" + b));
    }

    /** Guards against a line that is no field, which a lenient reader drops or joins to another. */
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

    /** Guards against control bytes in values, also in parts that are trimmed or folded. */
    @ParameterizedTest
    @MethodSource("org.laurelweir.runtime.answer.DecodedAnswer#bytesOutsideTexts")
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
        DecodedAnswer decoded = decode(OK + "A: x\r\n y\r\n\tz\r\n" + BODY);
        assertThat(decoded.isWhole()).isTrue();
        assertThat(decoded.heads().get(0)).matches("200 \\[A=x[ \t]+y[ \t]+z, Content-Length=2]");
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
}
